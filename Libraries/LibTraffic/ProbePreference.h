#pragma once

#include <LibTraffic/DirectoryEntry.h>
#include <LibTraffic/TargetSubset.h>
#include <cstdint>
#include <set>
#include <string_view>
#include <vector>

namespace Comfreysail::Traffic {

/// Which targets a round of load probes prefers, so that few connections are opened.
struct ProbePreference {
    std::set<std::string_view> subset; ///< Ids of the targets of this daemon's subset; empty if all are equal.
    /// Ids of targets with an idle open connection. Outside the subset they are preferred. Inside, only targets whose
    /// connections are all in use come later: if all others did, probes would go to the same few targets once the
    /// connections to the others have expired.
    std::set<std::string_view> connected;
    unsigned minOutsideSubset { 0 }; ///< Number of targets outside the subset that the round includes.

    bool operator==(ProbePreference const&) const = default;
};

/// Returns the preference of a round of probes of this daemon, without `connected`. The first round of a request is
/// answered from the subset, with a target outside it from time to time, which `seed` decides; a later round includes
/// one in any case, since the whole subset may be busy. The ids refer to `eligible`.
ProbePreference probePreference(std::string_view daemonName, std::string_view ownZone,
    std::vector<DirectoryEntry const*> const& eligible, SubsetDemand const&, SubsetOptions const&, bool isFirstRound,
    uint64_t seed, Core::Instant now);

}
