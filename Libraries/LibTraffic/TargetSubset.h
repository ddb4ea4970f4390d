#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <string_view>
#include <vector>

namespace Comfreysail::Traffic {

struct SubsetOptions {
    /// With at most this many members all eligible targets are probed: few daemons have a high rate each, and their
    /// connections stay in use anyway.
    size_t maxMembersWithoutSubset { 64 };
    /// Goal for the mean time between two uses of a connection. With random probes the time between uses is
    /// exponentially distributed. Connections are closed after 8 s without use, so about 1 in 400 probes finds none.
    Core::Duration meanTimeBetweenUses { std::chrono::milliseconds(1330) };
    /// Two rounds of three probes. If a quarter of the targets is slow at a time, all six are slow once in 4,096 times.
    size_t minSize { 6 };
    /// Mean number of subsets that a target belongs to. With 10, a given target belongs to no subset with a probability
    /// of exp(-10), or of at most exp(-5) if no daemon runs in its availability zone.
    size_t subsetsPerTarget { 10 };
    /// Part of the subset that is taken from the own availability zone first. The other part comes from all zones, so
    /// that targets of zones with few daemons belong to subsets too.
    double ownZoneFraction { 0.5 };
    /// One in this many first rounds also probes a target outside the subset.
    unsigned roundsPerOutsideProbe { 32 };

    bool operator==(SubsetOptions const&) const = default;
};

/// What the size of a subset depends on.
struct SubsetDemand {
    size_t members { 0 };            ///< Daemons.
    size_t targets { 0 };            ///< Targets of the service, also those that this daemon doesn't use.
    double requestsPerSecond { 0 };  ///< Of this daemon for the service.
    unsigned probesPerRequest { 3 }; ///< Targets probed in one round.

    bool operator==(SubsetDemand const&) const = default;
};

struct SubsetCandidate {
    std::string_view id;
    std::string_view availabilityZone;
    bool isCold { false };

    bool operator==(SubsetCandidate const&) const = default;
};

/// Returns the number of targets to probe, which may exceed the number of targets, or 0 if all targets are to be
/// probed.
size_t subsetSize(SubsetDemand const&, SubsetOptions const&);

/// Returns the ids of the targets of this daemon's subset: those with the highest random weight by the names of daemon
/// and target, first of the own zone, up to its fraction, then of all zones. A target that joins or leaves changes at
/// most one other place. Cold targets are included by their rank, but take up no place, because they get no requests.
std::vector<std::string_view> chooseSubset(std::string_view daemonName, std::string_view ownZone,
    std::vector<SubsetCandidate> const& eligible, size_t size, SubsetOptions const&);

}
