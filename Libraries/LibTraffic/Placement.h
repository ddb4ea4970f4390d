#pragma once

#include <LibTraffic/DirectoryEntry.h>
#include <LibTraffic/ProbePreference.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Traffic {

struct PlacementOptions {
    /// Targets that are asked for their load in one round. At moderate load, three usually include a fast target with a
    /// free slot.
    unsigned targetsProbedPerRound { 3 };
    unsigned maxRounds { 5 };
    /// A target whose expected cost is at most this is used without asking others. Cost is a multiple of the typical
    /// time.
    double goodEnoughCost { 1.7 };
    /// A target with this many waiting requests gets no more. Targets have short queues and may never answer requests
    /// that exceed them.
    unsigned maxWaiting { 2 };
    /// Cost added to downloads from another availability zone, because traffic between zones is expensive.
    double crossZoneDownloadCost { 3.0 };
    double crossZoneCost { 0.05 };
    /// A late request (one that can no longer finish within its latency target) is sent only if at least this many
    /// targets have room, or all targets if there are fewer, apart from those that were tried. This leaves the last
    /// free slots to requests that can still finish in time: the throughput is the same, and more responses are on
    /// time.
    size_t minTargetsWithRoomIfLate { 3 };
    /// The same limit as a fraction of the targets that can be asked; the larger of the two applies.
    double minFractionWithRoomIfLate { 0.4 };
    /// The same fraction for a request that would end late at its best target, because that is slow at the moment.
    double minFractionWithRoomIfSlow { 0.4 };
    /// Maximum age of a load report that is used for placement.
    Core::Duration maxReportAge { std::chrono::milliseconds(25) };
    /// Maximum age of a load report that counts when deciding whether a service has room for a late request. How many
    /// targets have room changes more slowly than which ones do. On a tenth of a core, asking enough targets takes
    /// longer than `maxReportAge`, and late requests were refused although all targets were idle.
    Core::Duration maxReportAgeForRoom { std::chrono::milliseconds(250) };

    bool operator==(PlacementOptions const&) const = default;
};

struct PlacementRequest {
    std::string_view ownZone;
    bool isDownload { false };
    std::vector<std::string> excludedTargets;
    bool isLate { false }; ///< Can no longer finish within its latency target.
    /// Highest expected cost at which the request may wait at a target and still finish within its latency target. If
    /// absent, only free slots are used: under overload, waiting requests finish late and take slots from requests that
    /// would be on time.
    std::optional<double> maxCostWithWaiting;
    /// Highest expected cost at which the request still finishes within its latency target; absent if unknown. If the
    /// best target exceeds it, the request counts as late: on a target that is slow at the moment it would keep a slot
    /// for several times as long as on one that becomes fast soon.
    std::optional<double> maxCostInTime;
    /// Only targets are used that do not slow down by the request, see uncrowdedSlots(). Under shortage they complete
    /// more this way, and requests that are sent to the same target at the same time start in the slots that are left.
    bool leavesCrowdedSlots { false };
};

/// Returns true if a request whose caller has already waited this long is unlikely to finish within the latency target.
/// `typical` is the typical time at a target. A request that has not waited is never late; otherwise every request
/// would be late while the typical time exceeds the latency target.
bool isLate(Core::Duration waited, Core::Duration typical, Core::Duration latencyTarget);

/// Returns the expected time of the request at the target, as a multiple of the typical time without waiting, or
/// nullopt if the target has no room or has not reported its load.
std::optional<double> expectedCost(DirectoryEntry const&, PlacementRequest const&, PlacementOptions const&);

/// Returns the targets to ask for their load in this round: random ones that were not asked before, for downloads those
/// of the own zone first, then those of the subset. `asked` holds target ids. `seed` seeds the random choice.
std::vector<DirectoryEntry const*> targetsToProbe(std::vector<DirectoryEntry const*> const& eligible,
    PlacementRequest const&, std::vector<std::string> const& asked, PlacementOptions const&, uint64_t seed,
    ProbePreference const& = {});

/// Returns asked targets whose last load report no longer shows whether they have room: this daemon has sent them
/// requests since, or the report is too old. At most as many as in one round.
std::vector<DirectoryEntry const*> targetsToProbeAgain(std::vector<DirectoryEntry const*> const& eligible,
    PlacementRequest const&, std::vector<std::string> const& asked, PlacementOptions const&, Core::Instant now);

struct TargetChoice {
    DirectoryEntry const* target { nullptr };
    double cost { 0 };
    bool isWaiting { false }; ///< All slots of the target are taken.

    bool operator==(TargetChoice const&) const = default;
};

/// Returns the target with the lowest expected cost among those with a recent load report, or nullopt if the request is
/// late or would end late there, and too few targets have room. Cold targets are skipped. A report describes the load
/// when it was made, so requests that this daemon sent since then are added to it.
std::optional<TargetChoice> bestTarget(
    std::vector<DirectoryEntry const*> const&, PlacementRequest const&, PlacementOptions const&, Core::Instant now);

/// Power-of-two-choices selection for services whose targets do not report their load: returns the one of two random
/// targets that has fewer in-flight requests of this daemon, or nullptr if there is no target.
DirectoryEntry const* leastLoadedOfTwo(
    std::vector<DirectoryEntry const*> const&, PlacementRequest const&, uint64_t seed, Core::Instant now);

}
