#include <LibTraffic/ProbePreference.h>

namespace Comfreysail::Traffic {

ProbePreference probePreference(std::string_view daemonName, std::string_view ownZone,
    std::vector<DirectoryEntry const*> const& eligible, SubsetDemand const& demand, SubsetOptions const& options,
    bool isFirstRound, uint64_t seed, Core::Instant now)
{
    ProbePreference preference;
    auto const size = subsetSize(demand, options);
    if (size == 0)
        return preference;
    std::vector<SubsetCandidate> candidates;
    candidates.reserve(eligible.size());
    for (auto const* record : eligible)
        candidates.push_back({ record->target.id, record->target.availabilityZone, now < record->coldUntil });
    auto const subset = chooseSubset(daemonName, ownZone, candidates, size, options);
    preference.subset.insert(subset.begin(), subset.end());
    preference.minOutsideSubset = !isFirstRound || seed % options.roundsPerOutsideProbe == 0 ? 1 : 0;
    return preference;
}

}
