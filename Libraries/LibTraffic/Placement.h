#pragma once

#include <LibTraffic/TargetRecord.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Traffic {

struct PlacementOptions {
    /// Targets asked for their load in one round. Three find a fast free slot in most cases at moderate load.
    unsigned targetsAskedPerRound { 3 };
    unsigned maxRounds { 5 };
    /// Targets of a service that one daemon uses.
    size_t targetsOfOneDaemon { 24 };
    /// A target that expects to finish within this multiple of the usual time is taken without asking others.
    double goodEnoughCost { 1.7 };
    /// Requests waiting at a target above which it gets no more; targets queue only a few and may never answer
    /// requests beyond their queue.
    unsigned maxWaiting { 2 };
    /// Cost that a large response across availability zones adds, since traffic between zones is expensive.
    double crossZoneDownloadCost { 3.0 };
    double crossZoneCost { 0.05 };
    /// Targets with room that a request needs to see when it can no longer end within its latency target; all targets
    /// where there are fewer. It leaves the
    /// last free slot to a request that still can: as many are served, and more of them in time.
    size_t roomForLateRequests { 3 };
    /// The same as a part of the targets that can be asked.
    double partWithRoomForLateRequests { 0.4 };
    /// How old a load report may be to count as the answer to a question now.
    Core::Duration longestReportAge { std::chrono::milliseconds(25) };

    bool operator==(PlacementOptions const&) const = default;
};

struct PlacementRequest {
    std::string_view ownZone;
    bool isDownload { false };
    std::vector<std::string> excludedTargets;
    bool isLate { false }; ///< Cannot end within its latency target any more.
    /// Highest cost at which the request may wait at a target, so that it still ends within its latency target. Without
    /// it, only free slots are used: under overload, waiting requests end late and keep slots from those in time.
    std::optional<double> maxCostWithWaiting;
};

/// True when a request whose caller has waited so long can hardly end within the latency target any more. `usual` is
/// the usual time at a target. A request that has not waited is never late: where the usual time is above the latency
/// target, all would be.
bool isLate(Core::Duration waited, Core::Duration usual, Core::Duration latencyTarget);

/// Expected time of a request at the target, as a multiple of its usual time without waiting. Nothing when the target
/// has no room.
std::optional<double> expectedCost(TargetRecord const&, PlacementRequest const&, PlacementOptions const&);

/// Targets to ask in this round, at random among those not asked before; for downloads first those of the own zone.
/// `asked` holds ids. `draw` seeds the choice.
std::vector<TargetRecord const*> targetsToAsk(std::vector<TargetRecord const*> const& eligible, PlacementRequest const&,
    std::vector<std::string> const& asked, PlacementOptions const&, uint64_t draw);

/// The targets of a service that one daemon uses: all when there are few, otherwise a part that it keeps, so that its
/// connections to them are used often enough to stay open.
std::vector<TargetRecord const*> targetsOfDaemon(
    std::vector<TargetRecord const*> eligible, std::string_view daemon, PlacementOptions const&);

struct Choice {
    TargetRecord const* target { nullptr };
    double cost { 0 };
    bool isWaiting { false }; ///< All slots of the target are taken.

    bool operator==(Choice const&) const = default;
};

/// The target with the lowest expected cost among those with a load report that is recent enough. Cold targets are
/// left out. Load answers the question when the report was made, so own sends since then are added to it.
std::optional<Choice> bestTarget(
    std::vector<TargetRecord const*> const&, PlacementRequest const&, PlacementOptions const&, Core::Instant now);

/// For services whose targets do not tell their load: the one with the fewest requests of this daemon among two drawn
/// at random.
TargetRecord const* lessBusyOfTwo(
    std::vector<TargetRecord const*> const&, PlacementRequest const&, uint64_t draw, Core::Instant now);

}
