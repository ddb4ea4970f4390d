#pragma once

#include "Scenario.h"
#include <cstdint>
#include <optional>

namespace Comfreysail::Benchmarks {

struct SimulationResult {
    bool isOnTime { false };    ///< Every daemon has the full share at the end.
    bool isTakenBack { false }; ///< Every daemon has the share 0 at the end.
    double shareMax { 0 };      ///< Largest share at any daemon.
    double shareOfCalls { 0 };  ///< Fraction of all calls that went to the new version.
    /// Time from when the fault is visible until every daemon has the share 0. A fault counts as visible from its fifth
    /// failed or slow call on, if at least two of these calls were on other targets than the target with the most.
    std::optional<double> detectSeconds;
};

SimulationResult simulate(Scenario const&, uint64_t seed);

}
