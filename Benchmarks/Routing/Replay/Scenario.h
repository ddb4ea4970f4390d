#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <optional>
#include <string>

namespace Comfreysail::RoutingReplay {

/// What happens during a replay.
struct Scenario {
    std::string name;
    double load { 0.5 };      ///< Offered work over the capacity of all targets.
    size_t repetitions { 1 }; ///< How often the trace is replayed in a row, with the deciders rotated each time.
    bool hasSlowPhases { false };

    /// One zone is taken out of service at the first time and returns with cold targets at the second.
    std::optional<std::pair<Core::Duration, Core::Duration>> zoneOut;

    /// One target turns cold at this time and does not say so.
    std::optional<Core::Duration> coldAgain;

    /// Department 0 sends this many times the requests that the trace gives it, on top of the load.
    unsigned noisyFactor { 1 };

    bool operator==(Scenario const&) const = default;
};

}
