#include "PlacementInput.h"

namespace Comfreysail::Daemon {

Traffic::PlacementRequest placementOf(
    EntryState const& state, RequestFacts const& request, std::string_view ownZone, Core::Instant now)
{
    Traffic::PlacementRequest placement;
    placement.ownZone = ownZone;
    placement.isDownload = request.route->isDownload;
    auto const found = state.serviceTimes.find(request.route->name);
    auto const waited = request.earlierWait + (now - request.arrivedAt);
    auto const typical = found == state.serviceTimes.end() ? Core::Duration {} : found->second.typical();
    placement.isLate = Traffic::isLate(waited, typical, request.route->latencyTarget);
    if (found == state.serviceTimes.end() || !found->second.isKnown())
        return placement;
    auto const maxCost = found->second.maxCostWithin(request.route->latencyTarget - waited);
    if (request.route->latencyTarget.count() > 0)
        placement.maxCostInTime = maxCost;
    auto const queueing = state.queueingEstimates.find(request.route->name);
    auto const estimate = queueing == state.queueingEstimates.end() ? Traffic::QueueingEstimate {} : queueing->second;
    if (estimate.shouldWait(request.uniform))
        placement.maxCostWithWaiting = maxCost;
    return placement;
}

size_t readyTargets(EntryState const& state, std::string_view service)
{
    size_t count = 0;
    for (auto const& [version, targets] : state.directory.versionsOf(service))
        count += targets;
    return count;
}

}
