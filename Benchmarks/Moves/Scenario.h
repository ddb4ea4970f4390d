#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Comfreysail::Benchmarks {

enum class Fault : uint8_t {
    None,
    Failing,
    Slow,
    FailingUnderLoad, ///< Only while a target has more than 60% of its load at the full share.
    OneRoute,
    OneTarget, ///< One target of the new version fails; no fault of the version.
    OneZone,   ///< All targets of a zone fail, of both versions; no fault of the version.
    ColdStart, ///< Targets are slow, and say so, for the first seconds.
};

struct Scenario {
    std::string name;
    bool isBad { false };
    Fault fault { Fault::None };
    double failureRate { 1 }; ///< Of the calls that the fault meets.
    double faultFrom { 0 };   ///< Part of the move's time after which the fault begins.
    double callsPerSecond { 150 };
};

std::vector<Scenario> scenarios();

}
