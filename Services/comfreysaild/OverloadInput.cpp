#include "OverloadInput.h"

#include <algorithm>

namespace Comfreysail::Daemon {

using Core::Duration;
using Core::Instant;

namespace {

Duration expectedWorkOf(OverloadState const& state, std::string const& route)
{
    auto const found = state.workEstimates.find(route);
    return found == state.workEstimates.end() || !found->second.isKnown() ? Duration {} : found->second.expected();
}

Duration leastWorkOf(OverloadState const& state, Overload::ServiceRanks const& ranks, RequestFacts const& request)
{
    Duration least {};
    for (auto const& route : ranks.routesOf(request.service, request.rank)) {
        auto const work = expectedWorkOf(state, route);
        if (work.count() > 0 && (least.count() == 0 || work < least))
            least = work;
    }
    return least;
}

}

void noteArrival(EntryState& state, EntryRequest const& request, Instant now)
{
    auto& overload = state.overload;
    if (overload.options.isEnabled)
        overload.offeredWork[request.service].note(request.rank, expectedWorkOf(overload, request.route->name), now);
}

std::optional<Overload::DecisionInput> overloadInputOf(EntryState& state, EntryRequest const& request, Instant now)
{
    auto& overload = state.overload;
    if (!overload.options.isEnabled || !request.route)
        return std::nullopt;
    if (overload.planOfRanks != request.plan) {
        overload.planOfRanks = request.plan;
        overload.ranks = Overload::ServiceRanks(*request.plan);
    }
    return overloadInputOf(overload, overload.ranks, factsOf(request), now);
}

std::optional<Overload::DecisionInput> overloadInputOf(
    OverloadState const& overload, Overload::ServiceRanks const& ranks, RequestFacts const& request, Instant now)
{
    if (!overload.options.isEnabled || !request.route)
        return std::nullopt;
    auto const department = Access::nameOf(request.department);
    if (!ranks.hasSeveral(request.service) && department.empty())
        return std::nullopt;
    Overload::DecisionInput input;
    auto const capacity = overload.capacities.find(request.service);
    if (capacity != overload.capacities.end())
        input.capacity = capacity->second.at(now, overload.options);
    input.rank = request.rank;
    input.rankDistance = ranks.distance(request.service, request.rank);
    input.waited = now - request.arrivedAt;
    input.earlierWait = request.earlierWait;
    input.latencyTarget = request.route->latencyTarget;
    if (request.callerDeadline)
        input.timeLeft = *request.callerDeadline - now;
    auto const work = overload.workEstimates.find(request.route->name);
    if (work != overload.workEstimates.end() && work->second.isKnown()) {
        input.typicalWork = work->second.typical();
        input.expectedWork = work->second.expected();
    }
    input.isFirstSend = request.sends == 0;
    input.draw = request.sheddingDraw;
    if (!input.capacity.isShort)
        return input;
    auto const offered = overload.offeredWork.find(request.service);
    if (offered != overload.offeredWork.end())
        input.moreUrgentPart = offered->second.moreUrgentPart(request.rank, now);
    input.isDepartmentOverShare = overload.departments.isOverShare(department, now);
    input.leastWorkOfRank = leastWorkOf(overload, ranks, request);
    return input;
}

void noteServiceTime(EntryState& state, EntryRequest const& request, Duration time)
{
    state.serviceTimes[request.route->name].note(time, request.expectedCost);
    state.overload.workEstimates[request.route->name].note(time, request.expectedCost);
}

}
