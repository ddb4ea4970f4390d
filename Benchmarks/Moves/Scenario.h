#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Comfreysail::Benchmarks {

enum class Fault : uint8_t {
    None,
    Failing,
    Slow,
    FailingUnderLoad, ///< Calls fail only while a target has more than 60% of the load that it gets at the full share.
    OneRoute,
    OneTarget, ///< One target of the new version fails; the version itself is good.
    OneZone,   ///< The targets of both versions in one zone fail; the version itself is good.
    ColdStart, ///< Targets of the new version are slow for the first 20 s and report that they are cold.
};

struct Scenario {
    std::string name;
    bool isBad { false };
    Fault fault { Fault::None };
    double failureRate { 1 }; ///< Fraction of the affected calls that fail or are slow.
    double faultFrom { 0 };   ///< Fraction of the move's duration after which the fault begins.
    double callsPerSecond { 150 };
};

std::vector<Scenario> scenarios();

}
