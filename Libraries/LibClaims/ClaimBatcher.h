#pragma once

#include <LibClaims/ClaimBatch.h>
#include <LibClaims/ClaimLimits.h>
#include <LibClaims/ClaimStep.h>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>

namespace Comfreysail::Claims {

/// Names a claim inside one ClaimBatcher.
using ClaimToken = uint64_t;

/// A request that needs a claim before it is sent.
struct ClaimRequest {
    std::string rowKey;         ///< From claimRowKey().
    uint64_t fingerprint { 0 }; ///< Hash of what makes the request the same request: method, path, body.
    Core::WallTime startBy;     ///< The request must not start later. Also the latest end of the wait for the claim.
    std::chrono::milliseconds timeout { 0 }; ///< Time after the start by which the request has surely ended.
};

/// The result for the request that waits for this claim.
struct ClaimDelivery {
    ClaimToken token { 0 };
    ClaimAnswer answer;
};

/// Counts since the start, for telemetry.
struct ClaimCounts {
    uint64_t transactions { 0 };
    uint64_t rowsWritten { 0 };
    uint64_t conflicts { 0 };
    uint64_t lostAnswers { 0 };
    uint64_t dropped { 0 }; ///< Rows left in state claimed because the background list was full.
};

/// Groups the claims of one daemon into transactions: at most one call of the table service is under way, and what
/// arrives meanwhile goes into the next one. A pure state machine; the caller makes the calls:
///
///     add() -> token; then, while takeBatch() returns a batch: call the table service, complete(), hand out
///     deliveries. On a granted claim: noteSendStarted(), send, and note() one of AnswerReceived, SendDidNotRun,
///     SendOutcomeUnknown; after SendDidNotRun either send again or note GaveUp.
///
/// takeBatch() has new work after add(), note(), complete(), and at nextWake(). Not thread-safe.
class ClaimBatcher {
public:
    /// The holder name makes claim ids unique: VM name and incarnation of the daemon.
    explicit ClaimBatcher(std::string holderName, ClaimLimits = {});

    /// Queues a claim. A key that this daemon already works on is answered at once.
    std::variant<ClaimToken, StoredStatus, Core::Error> add(ClaimRequest const&, Core::WallTime now);

    /// The next call of the table service. Nothing while one is under way or no work is due.
    std::optional<ClaimBatch> takeBatch(Core::WallTime now);

    /// Reports how the call ended. Returns the claims that are decided by it. An id that is not under way is ignored.
    std::vector<ClaimDelivery> complete(uint64_t batchId, BatchResult const&, Core::WallTime now);

    /// Ends the wait of claims whose time is over. They are answered as not run, and their rows are released later.
    std::vector<ClaimDelivery> expireWaits(Core::WallTime now);

    /// Must precede each send. An error means that the request must not be sent; the claim is released.
    Core::Result<Core::Empty> noteSendStarted(ClaimToken, Core::WallTime now);

    /// Reports what happened to a granted claim.
    void note(ClaimToken, ClaimEvent const&, Core::WallTime now);

    /// The caller of a waiting or granted claim is gone, and the request is not at a target.
    void cancel(ClaimToken, Core::WallTime now);

    /// When expireWaits() or takeBatch() next has work, unless something is added before.
    std::optional<Core::WallTime> nextWake() const;

    /// Nothing is waiting or under way at the table service. A daemon that shuts down waits for this.
    bool isIdle() const;

    ClaimCounts const& counts() const { return m_counts; }
    size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        std::string rowKey;
        ClaimState state;
        Core::WallTime waitUntil;
        bool isInBackground { false }; ///< The caller has its answer, but the row is not in its final state.
    };

    using Deliveries = std::vector<ClaimDelivery>;
    using Due = std::set<std::pair<Core::WallTime, ClaimToken>>;

    void apply(ClaimToken, ClaimEvent const&, Core::WallTime now, Deliveries&);
    void queue(ClaimToken, StoreAction, ClaimPhase previous, Core::WallTime now);
    void erase(ClaimToken);
    bool isInFlight(ClaimToken) const;
    bool wantsWrite(ClaimToken) const;
    ClaimBatch readBatch(Core::WallTime now);
    ClaimBatch writeBatch();
    void completeConflicted(std::vector<ClaimToken> const&, BatchConflicted const&, Core::WallTime now, Deliveries&);

    std::string m_holderName;
    ClaimLimits m_limits;
    ClaimToken m_lastToken { 0 };
    uint64_t m_lastBatch { 0 };
    std::unordered_map<ClaimToken, Entry> m_entries;
    std::unordered_map<std::string, ClaimToken> m_tokenOfKey;
    std::deque<ClaimToken> m_writes;
    Due m_reads;
    Due m_waits;
    Core::WallTime m_writesPausedUntil;
    std::vector<ClaimToken> m_inFlight;
    size_t m_background { 0 };
    ClaimCounts m_counts;
};

}
