#include <LibTraffic/TargetSubset.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <cmath>
#include <utility>

namespace Comfreysail::Traffic {

size_t subsetSize(SubsetDemand const& demand, SubsetOptions const& options)
{
    if (demand.members <= options.maxMembersWithoutSubset)
        return 0;
    auto const seconds = std::chrono::duration<double>(options.meanTimeBetweenUses).count();
    auto const byRate = static_cast<size_t>(std::ceil(demand.requestsPerSecond * demand.probesPerRequest * seconds));
    auto const byCoverage = (options.subsetsPerTarget * demand.targets + demand.members - 1) / demand.members;
    return std::max({ options.minSize, byRate, byCoverage });
}

std::vector<std::string_view> chooseSubset(std::string_view daemonName, std::string_view ownZone,
    std::vector<SubsetCandidate> const& eligible, size_t size, SubsetOptions const& options)
{
    auto const daemonHash = Core::hashBytes(daemonName);
    std::vector<std::pair<uint64_t, SubsetCandidate const*>> ranked;
    ranked.reserve(eligible.size());
    for (auto const& candidate : eligible)
        ranked.emplace_back(Core::combineHashes(daemonHash, Core::hashBytes(candidate.id)), &candidate);
    std::ranges::sort(ranked, [](auto const& first, auto const& second) {
        return std::pair(first.first, first.second->id) < std::pair(second.first, second.second->id);
    });
    std::vector<std::string_view> subset;
    size_t used = 0;
    auto const take = [&](size_t limit, bool onlyOwnZone) {
        for (auto& [rank, candidate] : ranked) {
            if (used >= limit)
                return;
            if (!candidate || (onlyOwnZone && candidate->availabilityZone != ownZone))
                continue;
            subset.push_back(candidate->id);
            used += candidate->isCold ? 0 : 1;
            candidate = nullptr;
        }
    };
    take(static_cast<size_t>(std::lround(options.ownZoneFraction * static_cast<double>(size))), true);
    take(size, false);
    return subset;
}

}
