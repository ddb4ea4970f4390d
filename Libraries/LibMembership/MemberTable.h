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
    Resumed,  ///< Was paused, and neither the store nor a peer has replied to it since then.
    Isolated, ///< Can reach neither the store nor a majority of the members.
};

/// The members known to this daemon, and the rules for suspicion, pauses and isolation. Not thread-safe.
class MemberTable {
public:
    MemberTable(Member self, MembershipOptions, Core::Instant now);

    Member const& self() const { return m_self.member; }

    /// Returns the heartbeats to send now. Must be called every 100 ms. Heartbeats are due every `heartbeatInterval`,
    /// and immediately after a change of the settings revision, of this daemon's state or of another member. A gap of
    /// more than `pauseGap` between calls means that this daemon was paused.
    std::vector<OutgoingHeartbeat> tick(Core::Instant now);

    /// Merges a heartbeat and returns the replies to send. Returns none while the views match.
    std::vector<OutgoingHeartbeat> merge(Heartbeat const&, Core::Instant now);

    /// Records that the store answered a read that started at `startedAt`.
    void noteStoreAnswered(Core::Instant startedAt, Core::Instant now);
    /// Records the leaving flags of the platform's VM list. Ignores which VMs are listed, since the list can be stale.
    void noteVmList(std::vector<PlatformVm> const&, Core::Instant now);
    /// Records a state that a member announced directly. Ignored if the incarnation does not match.
    void noteState(std::string_view name, uint64_t incarnation, MemberState, Core::Instant now);
    /// Sets the settings revision to announce. Ignores an older one than the current one.
    void setSettingsRevision(uint64_t revision);
    /// Sets the state of this daemon. Ignores a lower state than the current one.
    void setState(MemberState);

    /// Returns the serving members that are neither suspected nor leaving, in name order, including self.
    std::vector<Member> live(Core::Instant now) const;
    /// Returns all members that can receive messages: those that are neither suspected nor left, without self.
    std::vector<Member> reachable(Core::Instant now) const;
    /// Returns the members that this daemon sends heartbeats to.
    std::vector<Member> overlay(Core::Instant now) const;
    size_t knownCount() const; ///< Members that have not left, including self.

    bool isIsolated(Core::Instant now) const;
    WorkPermit workPermit(Core::Instant now) const;

private:
    struct Record {
        MemberEntry entry;
        Core::Instant lastHeardAt;
        Core::Instant changedAt;
        /// Until then, a leaving flag in the VM list may refer to the previous instance.
        Core::Instant ignoreLeavingUntil;
        bool isLeaving { false };
    };
    using Records = std::map<std::string, Record, std::less<>>;

    bool isSuspected(Record const&, Core::Instant now) const;
    bool isSelf(Member const&) const;
    void mergeEntry(MemberEntry const&, Core::Instant now);
    static bool isAtSameEndpoint(Member const&, Member const&);
    /// True if a newer daemon with another name runs at the member's endpoint.
    bool isReplaced(Member const&) const;
    void markReplacedAsLeft(Member const&, Core::Instant now);
    void noteBeat(Record&, uint64_t beat, Core::Instant now);
    void mergeBeats(Heartbeat const&, Core::Instant now);
    void expireMembers(Core::Instant now);
    void noteChange(Record*, Core::Instant now);
    void noteContact(Core::Instant now);
    size_t reachableCount(Core::Instant now) const; ///< Including self.
    uint64_t viewHash() const;
    Heartbeat makeHeartbeat(bool isFull, Core::Instant now) const;
    std::vector<std::string> endpoints(Core::Instant now);

    MemberEntry m_self;
    MembershipOptions m_options;
    Records m_records;                          ///< By name, without self.
    mutable std::optional<uint64_t> m_viewHash; ///< Cache for each heartbeat, cleared when a member changes.
    uint64_t m_settingsRevision { 0 };
    uint64_t m_resumedBeat { 0 }; ///< A reply with this beat of self was made after the latest pause.
    size_t m_probeIndex { 0 };
    bool m_isResumed { false };
    bool m_isHeartbeatDue { true };
    Core::Instant m_lastTickAt;
    Core::Instant m_resumedAt;     ///< End of the latest pause.
    Core::Instant m_lastContactAt; ///< Last contact with the store or a majority of the members.
    std::optional<Core::Instant> m_lastHeartbeatAt;
    /// By member name: when the views last matched or a full view was last sent.
    std::map<std::string, Core::Instant, std::less<>> m_fullViewSentAt;
};

}
