#pragma once

#include <LibTraffic/DirectoryEntry.h>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Traffic {

struct DirectoryOptions {
    /// Time after the registry's return within which registrations that expired during its outage are back.
    Core::Duration registryRecoveryTime { std::chrono::seconds(2) };
    /// If the registry was not read for longer than this, registrations may have expired during an outage.
    Core::Duration maxReadGap { std::chrono::milliseconds(2500) };
    /// First and longest time for which a failing target is ejected, which means that it gets no requests. The time
    /// doubles with each further failure.
    Core::Duration baseEjectionTime { std::chrono::milliseconds(300) };
    Core::Duration maxEjectionTime { std::chrono::seconds(5) };
    /// Number of consecutive failed requests after which a target that still answers is ejected. A single failure may
    /// be the fault of the request.
    unsigned failedRequestsBeforeEjection { 2 };
    /// Maximum number of targets of a service that one daemon uses.
    size_t maxTargetsPerDaemon { 24 };

    bool operator==(DirectoryOptions const&) const = default;
};

/// Failures of a send that indicate a problem of the target.
enum class TargetFault : uint8_t {
    Unreachable,   ///< No connection could be opened, or it was lost.
    FailedRequest, ///< The target answered that the request failed.
    OtherTarget,   ///< The address now belongs to another target.
};

/// The targets of a service that get no requests now because of what they said.
struct StatedExclusions {
    size_t leaving { 0 };
    size_t waiting { 0 };   ///< Want no requests for some time.
    size_t returning { 0 }; ///< That time has passed, and their load rises gradually.
    size_t limited { 0 };
    Core::Instant oldestAt { Core::Instant::max() }; ///< When the oldest of these statements was made.

    size_t total() const { return leaving + waiting + returning + limited; }
    bool operator==(StatedExclusions const&) const = default;
};

/// All targets of the registry with this daemon's state for each of them.
class TargetDirectory {
public:
    /// `daemonName` determines which targets of a large service this daemon uses.
    explicit TargetDirectory(std::string_view daemonName = {}, DirectoryOptions = {});

    /// Replaces the list of targets by a complete read of the registry.
    void replaceAll(std::vector<RegisteredTarget> const&, Core::Instant now);

    /// Applies the difference between the last read of the registry and this one: new and changed targets, and the ids
    /// of removed ones. The cost does not depend on the number of targets that stayed the same.
    void applyChanges(
        std::vector<RegisteredTarget> const& changed, std::vector<std::string> const& removed, Core::Instant now);

    /// Returns the targets of a service that may get requests: registered as ready, in an availability zone that is in
    /// service, and not ejected. `version`, if given, restricts them to one version. Cold targets are included.
    ///
    /// If there are too many for one daemon, returns the first ones in the order of a hash of daemon and target. They
    /// stay the same as long as they are eligible, so connections to them are used often enough to stay open. A target
    /// whose limit allows no request now is not returned and takes the place of one, so that the number of daemons that
    /// share its limit stays the same.
    std::vector<DirectoryEntry const*> eligible(std::string_view service, std::optional<std::string_view> version,
        std::set<std::string, std::less<>> const& zonesOutOfService, Core::Instant now) const;

    /// Returns all registered targets of a service, also those that may get no requests, in the order of eligible().
    std::vector<DirectoryEntry const*> targetsOf(std::string_view service) const;

    /// Returns the number of ready targets of a service for each version.
    std::map<std::string, unsigned, std::less<>> versionsOf(std::string_view service) const;

    /// Returns the target with this id, or nullptr.
    DirectoryEntry const* find(std::string_view id) const;
    /// The note functions do nothing if the target is not known.
    void noteSent(std::string_view id);
    void noteEnded(std::string_view id);
    void noteLoad(std::string_view id, TargetLoad const&, Core::Instant now);
    void noteCold(std::string_view id, Core::Duration coldLeft, Core::Instant now);
    void noteAnswered(std::string_view id);
    void noteFault(std::string_view id, TargetFault, Core::Instant now);
    /// The target named a limit in a response, or named none (std::nullopt). `isProbe` tells the response to a load
    /// probe, which was sent at `sentAt`, from that to a request. `daemons` is the number of running daemons, and
    /// `phase` in [0, 1) is random.
    void noteLimit(std::string_view id, std::optional<double> requestsPerSecond, bool isProbe, Core::Instant sentAt,
        size_t daemons, double phase, Core::Instant now);
    /// Returns the id of a target of the service that has to be probed because of its limit, if there is one, and
    /// counts it as probed.
    std::optional<std::string> takeDueLimitProbe(std::string_view service, Core::Instant now);
    /// A request is going to be sent to the target.
    void noteChosen(std::string_view id, size_t daemons, Core::Instant now);
    /// Returns the number of targets of a service whose limit allows no request now.
    size_t limitedTargets(std::string_view service, Core::Instant now) const;
    /// Returns how many targets of a service get no requests now because of what they said.
    StatedExclusions statedExclusions(std::string_view service, Core::Instant now) const;
    /// The target refused a request and wants none from this daemon for the stated time. That holds until it restarts,
    /// even if its registration disappears and returns. `typicalWork` is that of the refused request, zero if unknown;
    /// `uniform` in [0, 1) is random. Ignored if the time is zero, or ends before an earlier one.
    void notePause(std::string_view id, Core::Duration stated, Core::Duration typicalWork, size_t daemons,
        double uniform, Core::Instant now);
    /// Returns the pauses of a service's targets that allow no request now, as far as this daemon uses the targets, if
    /// no target can be used until one of them ends. Otherwise returns none. A target that is ejected or whose limit
    /// allows no request does not count.
    std::vector<TargetPause> pausesOf(std::string_view service, std::optional<std::string_view> version,
        std::set<std::string, std::less<>> const& zonesOutOfService, Core::Instant now) const;
    /// Returns when the first target of a service that is out of use for some time can be used again: because it
    /// refused requests until then, is limited or ejected. Returns std::nullopt if there is no such target.
    std::optional<Core::Instant> firstReturn(std::string_view service, Core::Instant now) const;
    /// The target said that it is leaving. It stays out of use until it restarts, even if its registration disappears
    /// and returns or still calls it ready.
    void noteLeaving(std::string_view id, Core::Instant now);

    size_t size() const { return m_records.size(); }

private:
    /// The targets of a service in the order in which this daemon prefers them.
    using RankedTargets = std::map<std::pair<uint64_t, std::string_view>, DirectoryEntry const*>;

    /// What a target said of itself that holds until it restarts.
    struct Statement {
        int64_t startedAt { 0 };
        std::optional<Core::Instant> saidLeavingAt;
        bool hasDrained { false }; ///< It was registered as draining.
        std::optional<TargetPause> pause;
    };

    /// Returns true if the target is registered as ready, did not leave, and is of this version and a zone in service.
    bool isInService(DirectoryEntry const&, std::optional<std::string_view> version,
        std::set<std::string, std::less<>> const& zonesOutOfService, Core::Instant now) const;
    Statement& statementOf(RegisteredTarget const&);
    DirectoryEntry* record(std::string_view id);
    double limitDivisorOf(DirectoryEntry const&, size_t daemons) const;
    void update(RegisteredTarget const&, Core::Instant now);
    void index(DirectoryEntry const&);
    void removeFromIndex(DirectoryEntry const&);
    void noteMissing(std::string_view id, Core::Instant now);
    void noteRead(Core::Instant now);
    void dropMissing(Core::Instant now);

    uint64_t m_daemonHash;
    DirectoryOptions m_options;
    std::map<std::string, DirectoryEntry, std::less<>> m_records;
    std::map<std::string, RankedTargets, std::less<>> m_rankedTargets; ///< By service; refers to m_records.
    /// Number of ready targets, by service and version.
    std::map<std::string, std::map<std::string, unsigned, std::less<>>, std::less<>> m_readyTargets;
    std::set<std::string, std::less<>> m_missing;               ///< Targets that are missing from the registry.
    std::map<std::string, Statement, std::less<>> m_statements; ///< By id; outlast the registrations.
    std::optional<Core::Instant> m_lastReadAt;
    Core::Instant m_incompleteUntil {};
};

}
