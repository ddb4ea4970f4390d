#include <LibTraffic/Placement.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace Comfreysail::Traffic {

using Core::Instant;

namespace {

// A waiting request starts when one of the running ones ends, which on average takes somewhat less than a full service
// time.
constexpr double workUntilSlotIsFree = 0.7;
// Targets slow down when they are nearly full, so an idle target is better than one with a single free slot.
constexpr double costOfBusySlots = 0.3;
// Upper limit, in percent of the latency target, for the typical time when deciding whether a request is late.
constexpr int maxUsualPercentOfLatencyTarget = 80;

bool isExcluded(DirectoryEntry const& record, PlacementRequest const& request)
{
    return std::ranges::find(request.excludedTargets, record.target.id) != request.excludedTargets.end();
}

unsigned busyRequests(DirectoryEntry const& record)
{
    return record.load->running + record.load->waiting + record.sentSinceLoad;
}

bool isInOwnZone(DirectoryEntry const& record, PlacementRequest const& request)
{
    return record.target.availabilityZone == request.ownZone;
}

double zoneCost(DirectoryEntry const& record, PlacementRequest const& request, PlacementOptions const& options)
{
    if (isInOwnZone(record, request))
        return 0;
    return request.isDownload ? options.crossZoneDownloadCost : options.crossZoneCost;
}

/// Position of the target in a round of probes: the subset, except for targets that a probe needs a further connection
/// to while a request runs on the present one, then targets with an open connection, then the others.
int probeRank(DirectoryEntry const& record, ProbePreference const& preference)
{
    bool const isConnected = preference.connected.contains(record.target.id);
    if (preference.subset.contains(record.target.id))
        return isConnected || record.inFlight == 0 ? 0 : 1;
    return isConnected ? 2 : 3;
}

/// Exchanges targets before `end` for later ones, so that the first part holds the required number of targets outside
/// the subset, if there are that many.
void moveOutsideSubset(std::vector<DirectoryEntry const*>& candidates, std::vector<DirectoryEntry const*>::iterator end,
    ProbePreference const& preference)
{
    auto const isOutside = [&](auto const* record) { return !preference.subset.contains(record->target.id); };
    auto outside = static_cast<size_t>(std::count_if(candidates.begin(), end, isOutside));
    auto later = end;
    for (auto place = end; place != candidates.begin() && outside < preference.minOutsideSubset;) {
        if (isOutside(*--place))
            continue;
        later = std::find_if(later, candidates.end(), isOutside);
        if (later == candidates.end())
            return;
        std::iter_swap(place, later++);
        ++outside;
    }
}

bool isTooSlow(TargetChoice const& choice, PlacementRequest const& request, PlacementOptions const& options)
{
    if (!request.maxCostInTime)
        return false;
    // A price for traffic between availability zones is not part of the expected time.
    auto const costOfTime = choice.cost - zoneCost(*choice.target, request, options);
    // Even a good target may exceed a short latency target. Refusing the request would not help the next one then.
    return costOfTime > std::max(*request.maxCostInTime, options.goodEnoughCost);
}

/// The fraction of the targets that must have room for the request to be sent to this one.
double minFractionWithRoom(TargetChoice const& choice, PlacementRequest const& request, PlacementOptions const& options)
{
    auto const ifLate = request.isLate ? options.minFractionWithRoomIfLate : 0;
    return std::max(ifLate, isTooSlow(choice, request, options) ? options.minFractionWithRoomIfSlow : 0);
}

}

bool isLate(Core::Duration waited, Core::Duration typical, Core::Duration latencyTarget)
{
    // Without a latency target a request cannot be late.
    if (latencyTarget.count() <= 0)
        return false;
    return waited + std::min(typical, latencyTarget * maxUsualPercentOfLatencyTarget / 100) > latencyTarget;
}

std::optional<double> expectedCost(
    DirectoryEntry const& record, PlacementRequest const& request, PlacementOptions const& options)
{
    if (!record.load)
        return std::nullopt;
    auto const& load = *record.load;
    auto const busy = busyRequests(record);
    auto const slots = static_cast<double>(load.slots);
    if (request.leavesCrowdedSlots && busy >= uncrowdedSlots(load.slots))
        return std::nullopt;
    double cost = 0;
    if (busy < load.slots) {
        cost = load.slowness * (1 + costOfBusySlots * busy / slots);
    } else {
        auto const ahead = busy - load.slots;
        if (ahead + 1 > options.maxWaiting)
            return std::nullopt;
        cost = load.slowness * (1 + costOfBusySlots + (ahead + workUntilSlotIsFree) / slots);
        if (cost > request.maxCostWithWaiting.value_or(0))
            return std::nullopt;
    }
    return cost + zoneCost(record, request, options);
}

std::vector<DirectoryEntry const*> targetsToProbe(std::vector<DirectoryEntry const*> const& eligible,
    PlacementRequest const& request, std::vector<std::string> const& asked, PlacementOptions const& options,
    uint64_t seed, ProbePreference const& preference)
{
    std::vector<DirectoryEntry const*> candidates;
    for (auto const* record : eligible) {
        if (!isExcluded(*record, request) && std::ranges::find(asked, record->target.id) == asked.end())
            candidates.push_back(record);
    }
    std::mt19937_64 generator(seed);
    std::ranges::shuffle(candidates, generator);
    if (!preference.subset.empty())
        std::ranges::stable_sort(candidates, {}, [&](auto const* record) { return probeRank(*record, preference); });
    if (request.isDownload)
        std::stable_partition(
            candidates.begin(), candidates.end(), [&](auto const* record) { return isInOwnZone(*record, request); });
    if (candidates.size() <= options.targetsProbedPerRound)
        return candidates;
    auto const end = candidates.begin() + options.targetsProbedPerRound;
    if (!preference.subset.empty())
        moveOutsideSubset(candidates, end, preference);
    candidates.erase(end, candidates.end());
    return candidates;
}

std::vector<DirectoryEntry const*> targetsToProbeAgain(std::vector<DirectoryEntry const*> const& eligible,
    PlacementRequest const& request, std::vector<std::string> const& asked, PlacementOptions const& options,
    Instant now)
{
    std::vector<DirectoryEntry const*> candidates;
    for (auto const* record : eligible) {
        bool const wasAsked = std::ranges::find(asked, record->target.id) != asked.end();
        if (!wasAsked || isExcluded(*record, request) || now < record->coldUntil || !record->load)
            continue;
        auto const& load = *record->load;
        bool const isOutdated = now - record->loadMeasuredAt > options.maxReportAge;
        bool const hadRoom = load.running + load.waiting < load.slots;
        if (isOutdated || (hadRoom && record->sentSinceLoad > 0))
            candidates.push_back(record);
    }
    if (candidates.size() > options.targetsProbedPerRound)
        candidates.resize(options.targetsProbedPerRound);
    return candidates;
}

std::optional<TargetChoice> bestTarget(std::vector<DirectoryEntry const*> const& candidates,
    PlacementRequest const& request, PlacementOptions const& options, Instant now)
{
    std::optional<TargetChoice> best;
    unsigned withRoom = 0;
    size_t usable = 0;
    for (auto const* record : candidates) {
        if (isExcluded(*record, request))
            continue;
        ++usable;
        auto const age = now - record->loadMeasuredAt;
        if (now < record->coldUntil || age > options.maxReportAgeForRoom)
            continue;
        auto const cost = expectedCost(*record, request, options);
        if (cost)
            ++withRoom;
        if (cost && age <= options.maxReportAge && (!best || *cost < best->cost))
            best = TargetChoice { record, *cost, busyRequests(*record) >= record->load->slots };
    }
    auto const minFraction = best ? minFractionWithRoom(*best, request, options) : 0;
    if (minFraction <= 0)
        return best;
    auto const askable = std::min<size_t>(usable, options.targetsProbedPerRound * options.maxRounds);
    auto const minByFraction = static_cast<size_t>(std::ceil(minFraction * static_cast<double>(askable)));
    auto const neededWithRoom = std::min(std::max(options.minTargetsWithRoomIfLate, minByFraction), usable);
    return withRoom < neededWithRoom ? std::nullopt : best;
}

DirectoryEntry const* leastLoadedOfTwo(
    std::vector<DirectoryEntry const*> const& eligible, PlacementRequest const& request, uint64_t seed, Instant now)
{
    std::vector<DirectoryEntry const*> candidates;
    for (auto const* record : eligible) {
        if (!isExcluded(*record, request) && now >= record->coldUntil)
            candidates.push_back(record);
    }
    std::mt19937_64 generator(seed);
    std::ranges::shuffle(candidates, generator);
    if (candidates.empty())
        return nullptr;
    if (candidates.size() == 1 || candidates[0]->inFlight <= candidates[1]->inFlight)
        return candidates[0];
    return candidates[1];
}

}
