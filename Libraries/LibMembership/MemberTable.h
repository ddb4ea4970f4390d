#pragma once

#include <LibCore/Time.h>
#include <LibMembership/Heartbeat.h>
#include <LibMembership/Member.h>
#include <LibMembership/MembershipOptions.h>
#include <LibMembership/PlatformVm.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Membership {

/// Whether a daemon may take new work.
enum class WorkPermit : uint8_t {
    Allowed,
    Resumed,  ///< Was paused and has not yet heard a reply to anything that it sent afterwards.
    Isolated, ///< Reaches neither the store nor more than half of the members.
};

/// The members that one daemon knows, with the rules for suspicion, pauses and isolation. Not thread-safe.
class MemberTable {
public:
    MemberTable(Member self, MembershipOptions, Core::Instant now);

    Member const& self() const { return m_self.member; }

    /// Call every 100 ms; heartbeats are due every `heartbeatInterval`, and at once after a change of the settings
    /// revision, of the own state or of another member. A longer gap than `pauseGap` between calls counts as a pause of
    /// this daemon.
    std::vector<OutgoingHeartbeat> tick(Core::Instant now);

    /// Merges a heartbeat. Returns the answers that it needs, which is none in steady state.
    std::vector<OutgoingHeartbeat> merge(Heartbeat const&, Core::Instant now);

    /// The store answered a read that was started at `startedAt`.
    void noteStoreAnswered(Core::Instant startedAt, Core::Instant now);
    void noteVmList(std::vector<PlatformVm> const&, Core::Instant now);
    /// A member told its new state directly; ignored for another incarnation.
    void noteState(std::string_view name, uint64_t incarnation, MemberState, Core::Instant now);
    void setSettingsRevision(uint64_t revision);
    void setState(MemberState);

    /// Members that are heard, not leaving and not draining, in name order; includes self unless it is leaving.
    std::vector<Member> live(Core::Instant now) const;
    /// Everybody that is worth sending a notice to: all members that are heard, without self.
    std::vector<Member> reachable(Core::Instant now) const;
    std::vector<Member> overlay(Core::Instant now) const;
    size_t knownCount() const;

    bool isIsolated(Core::Instant now) const;
    WorkPermit workPermit(Core::Instant now) const;

private:
    struct Record {
        MemberEntry entry;
        Core::Instant heardAt;
        Core::Instant changedAt;
        Core::Instant staleListUntil; ///< A leaving mark on the VM list is about a former instance until then.
        bool isLeaving { false };
    };
    using Records = std::map<std::string, Record, std::less<>>;

    bool isSilent(Record const&, Core::Instant now) const;
    bool isSelf(Member const&) const;
    void adopt(MemberEntry const&, Core::Instant now);
    static bool isAtSameEndpoint(Member const&, Member const&);
    /// Whether a newer daemon under another name runs at the member's endpoint.
    bool isReplaced(Member const&) const;
    void replaceFormer(Member const&, Core::Instant now);
    void noteBeat(Record&, uint64_t beat, Core::Instant now);
    void mergeBeats(Heartbeat const&, Core::Instant now);
    void forgetSilent(Core::Instant now);
    void noteChange(Record*, Core::Instant now);
    void noteReach(Core::Instant now);
    size_t heardCount(Core::Instant now) const;
    uint64_t viewHash() const;
    Heartbeat makeHeartbeat(bool isFull, Core::Instant now) const;
    std::vector<std::string> endpoints(Core::Instant now);

    MemberEntry m_self;
    MembershipOptions m_options;
    Records m_records;                          ///< Without self.
    mutable std::optional<uint64_t> m_viewHash; ///< Kept until a member changes: it is needed for each heartbeat.
    uint64_t m_settingsRevision { 0 };
    uint64_t m_resumedBeat { 0 }; ///< A reply that knows this beat of ours was made after the latest pause.
    size_t m_probe { 0 };
    bool m_isResumed { false };
    bool m_isDue { true };
    Core::Instant m_tickedAt;
    Core::Instant m_resumedAt;
    Core::Instant m_reachedAt; ///< Latest time with the store or the majority in reach.
    std::optional<Core::Instant> m_sentAt;
    std::map<std::string, Core::Instant, std::less<>> m_fullSentAt;
};

}
