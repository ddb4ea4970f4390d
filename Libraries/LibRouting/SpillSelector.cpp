#include <LibRouting/SpillSelector.h>
#include <algorithm>
#include <cmath>

namespace Comfreysail::Routing {

namespace {

// A sibling that has not reported for this long may be unreachable. Under load it reports several times in this period.
constexpr Core::Duration reportValidity = std::chrono::milliseconds(500);

// Time constant with which a report loses its value: after a few service times the estimate returns to the mean of the
// reports.
constexpr double reportDecaySeconds = 0.03;

// Weight of a new report in the exponential moving average.
constexpr double reportWeight = 0.1;

// Spills that were sent less than this before a report arrived are not counted in it: the round trip time across zones.
constexpr Core::Duration reportDelay = std::chrono::milliseconds(2);

// Requests per slot by which the sibling must be less loaded, so that the two hops across zones are worth it.
constexpr double minLoadDifference = 0.25;

// Requests per slot above which a sibling counts as full: a wait of about three service times. In the routing replay at
// 85% load, 1 (only free slots) gives a p99 of 157 ms even with unlimited reports, and 2 to 10 give 56 to 59 ms. At 95%
// load 4 gives 268 ms and 10 gives 218 ms, but with a zone out at 85% load 4 is better (307 instead of 354 ms).
constexpr double maxLoadRatio = 4;

}

SpillSelector::SpillSelector(uint64_t seed)
    : m_generator(seed)
{
}

void SpillSelector::noteReport(GroupKey const& sibling, GroupLoad load, Core::Instant now)
{
    auto const [entry, isNew] = m_siblings.try_emplace(sibling);
    auto& known = entry->second;
    bool const isStale = isNew || now - known.reportedAt > reportValidity;
    auto const demand = static_cast<double>(load.demand());
    known.meanDemand = isStale ? demand : known.meanDemand + (demand - known.meanDemand) * reportWeight;
    known.load = load;
    known.reportedAt = now;
}

void SpillSelector::removeSibling(GroupKey const& sibling) { m_siblings.erase(sibling); }

double SpillSelector::expectedDemand(Sibling const& sibling, Core::Instant now) const
{
    auto const age = std::chrono::duration<double>(now - sibling.reportedAt).count();
    auto const known = std::exp(-age / reportDecaySeconds);
    auto const reported = sibling.load.demand() * known + sibling.meanDemand * (1 - known);
    auto const unreportedSpills = std::count_if(sibling.spills.begin(), sibling.spills.end(),
        [&](Core::Instant sentAt) { return sentAt + reportDelay > sibling.reportedAt; });
    return reported + static_cast<double>(unreportedSpills);
}

std::optional<GroupKey> SpillSelector::choose(GroupLoad local, Core::Instant now)
{
    if (!local.isUnderPressure())
        return std::nullopt;
    auto const localRatio
        = local.slots == 0 ? 1e9 : static_cast<double>(local.demand() + 1) / static_cast<double>(local.slots);

    std::pair<GroupKey const, Sibling>* best = nullptr;
    double bestRatio = 0;
    unsigned ties = 0;
    for (auto& entry : m_siblings) {
        auto const& sibling = entry.second;
        if (now - sibling.reportedAt > reportValidity || sibling.load.slots == 0)
            continue;
        auto const demand = expectedDemand(sibling, now) + 1;
        auto const ratio = demand / sibling.load.slots;
        if ((ratio > maxLoadRatio && local.slots > 0) || localRatio - ratio < minLoadDifference)
            continue;
        if (!best || ratio < bestRatio) {
            best = &entry;
            bestRatio = ratio;
            ties = 1;
        } else if (ratio == bestRatio && m_generator() % ++ties == 0) {
            best = &entry;
        }
    }
    if (!best)
        return std::nullopt;
    best->second.spills.push_back(now);
    return best->first;
}

void SpillSelector::noteSpillFinished(GroupKey const& sibling, Core::Instant sentAt)
{
    auto const entry = m_siblings.find(sibling);
    if (entry == m_siblings.end())
        return;
    auto& spills = entry->second.spills;
    auto const spill = std::find(spills.begin(), spills.end(), sentAt);
    if (spill != spills.end())
        spills.erase(spill);
}

}
