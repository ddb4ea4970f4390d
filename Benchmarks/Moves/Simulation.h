#pragma once

#include "Scenario.h"
#include <cstdint>
#include <optional>

namespace Comfreysail::Benchmarks {

struct SimulationResult {
    bool isOnTime { false };    ///< Every daemon has the full share at the end.
    bool isTakenBack { false }; ///< Every daemon has the share 0 at the end.
    double shareMax { 0 };      ///< Largest share at any daemon.
    double shareOfCalls { 0 };  ///< Of all calls, those that the new version got.
    /// From the moment the fault shows until every daemon has the share 0. A fault shows at the fifth failed or slow
    /// call that it caused, with two or more of them on other targets than the one with the most.
    std::optional<double> detectSeconds;
};

SimulationResult simulate(Scenario const&, uint64_t seed);

}
