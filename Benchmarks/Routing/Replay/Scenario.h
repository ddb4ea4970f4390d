#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <optional>
#include <string>

namespace Comfreysail::RoutingReplay {

/// The load and the faults of a replay.
struct Scenario {
    std::string name;
    double load { 0.5 };      ///< Offered load as a fraction of the capacity of all targets.
    size_t repetitions { 1 }; ///< Consecutive replays of the trace; each assigns the requests to other daemons.
    bool hasSlowPhases { false };

    /// One zone is taken out of service at the first time and put back with cold targets at the second.
    std::optional<std::pair<Core::Duration, Core::Duration>> zoneOut;

    /// One target becomes cold at this time without reporting it.
    std::optional<Core::Duration> coldAgain;

    /// Department 0 sends this many times its requests of the trace. The additional requests are not included in
    /// `load`.
    unsigned noisyFactor { 1 };

    bool operator==(Scenario const&) const = default;
};

}
