#pragma once

#include <LibClaims/ClaimBatch.h>
#include <LibClaims/ClaimLimits.h>
#include <LibClaims/ClaimStep.h>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>

namespace Comfreysail::Claims {

/// Identifies a claim within one ClaimBatcher.
using ClaimToken = uint64_t;

/// A request that needs a claim before it is sent.
struct ClaimRequest {
    std::string rowKey;                      ///< From claimRowKey().
    uint64_t fingerprint { 0 };              ///< Hash of the method, path and body.
    Core::WallTime startBy;                  ///< Latest start of the request, and latest end of the wait for the claim.
    std::chrono::milliseconds timeout { 0 }; ///< The request has ended by this time after its start.
};

/// The answer for the request that waits for this claim.
struct ClaimDelivery {
    ClaimToken token { 0 };
    ClaimAnswer answer;
};

/// Counts since the start of the daemon, for telemetry.
struct ClaimCounts {
    uint64_t transactions { 0 };
    uint64_t rowsWritten { 0 };
    uint64_t conflicts { 0 };
    uint64_t lostAnswers { 0 };
    uint64_t dropped { 0 }; ///< Rows left in state Claimed because the background list was full.
};

/// Groups the claims of one daemon into transactions. At most one call to the table service is in flight; claims that
/// arrive during a call go into the next batch. Performs no I/O itself; the caller makes the calls:
///
/// - add() returns a token. While takeBatch() returns a batch, call the table service, call complete() with the result,
///   and pass on the deliveries that it returns.
/// - When a claim is granted, call noteSendStarted(), send the request, and call note() with AnswerReceived,
///   SendDidNotRun or SendOutcomeUnknown. After SendDidNotRun, either send again or call note() with GaveUp.
///
/// Call takeBatch() after add(), note() and complete(), and at nextWake(). Not thread-safe.
class ClaimBatcher {
public:
    /// `holderName` makes claim ids unique: the VM name and incarnation of the daemon.
    explicit ClaimBatcher(std::string holderName, ClaimLimits = {});

    /// Queues a claim. Returns the stored status if the request finished on this daemon and the row is not yet updated.
    /// Errors: IdempotencyKeyReused, ClaimInProgress, ClaimStoreUnavailable if too many claims wait.
    std::variant<ClaimToken, StoredStatus, Core::Error> add(ClaimRequest const&, Core::WallTime now);

    /// Returns the next call to the table service, or std::nullopt if a call is in flight or no work is due.
    std::optional<ClaimBatch> takeBatch(Core::WallTime now);

    /// Processes the result of a call and returns the answers that it determines. Ignores batches not in flight.
    std::vector<ClaimDelivery> complete(uint64_t batchId, BatchResult const&, Core::WallTime now);

    /// Ends the wait of claims that timed out, and returns their answers (not run). Their rows are released later.
    std::vector<ClaimDelivery> expireWaits(Core::WallTime now);

    /// Must be called before each send. On error the request must not be sent.
    /// Errors: Internal if the claim is not held; StartDeadlinePassed, which also releases the claim.
    Core::Result<Core::Empty> noteSendStarted(ClaimToken, Core::WallTime now);

    /// Records what happened to the request of a granted claim.
    void note(ClaimToken, ClaimEvent const&, Core::WallTime now);

    /// Cancels a waiting or granted claim whose caller disconnected. The request must not have been sent to a target.
    void cancel(ClaimToken, Core::WallTime now);

    /// Returns when expireWaits() or takeBatch() next has work if no claim is added before.
    std::optional<Core::WallTime> nextWake() const;

    /// True if no call to the table service is queued or in flight. A daemon that shuts down waits for this.
    bool isIdle() const;

    ClaimCounts const& counts() const { return m_counts; }
    size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        std::string rowKey;
        ClaimState state;
        Core::WallTime waitUntil;
        bool isInBackground { false }; ///< The caller was answered, but the row is not yet final.
    };

    using Deliveries = std::vector<ClaimDelivery>;
    using TimedTokens = std::set<std::pair<Core::WallTime, ClaimToken>>;

    void apply(ClaimToken, ClaimEvent const&, Core::WallTime now, Deliveries&);
    void queue(ClaimToken, StoreAction, ClaimPhase previous, Core::WallTime now);
    void erase(ClaimToken);
    bool isInFlight(ClaimToken) const;
    bool needsWrite(ClaimToken) const;
    ClaimBatch readBatch(Core::WallTime now);
    ClaimBatch writeBatch();
    void completeConflicted(std::vector<ClaimToken> const&, BatchConflicted const&, Core::WallTime now, Deliveries&);

    std::string m_holderName;
    ClaimLimits m_limits;
    ClaimToken m_lastToken { 0 };
    uint64_t m_lastBatchId { 0 };
    std::unordered_map<ClaimToken, Entry> m_entries;
    std::unordered_map<std::string, ClaimToken> m_tokenByRowKey;
    std::deque<ClaimToken> m_pendingWrites;
    TimedTokens m_pendingReads;
    TimedTokens m_waitDeadlines;
    Core::WallTime m_writesPausedUntil;
    std::vector<ClaimToken> m_inFlight;
    size_t m_backgroundCount { 0 };
    ClaimCounts m_counts;
};

}
