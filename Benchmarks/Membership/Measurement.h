#pragma once

#include "Topology.h"
#include <cstddef>
#include <cstdint>

namespace Comfreysail::Benchmarks {

/// Which VMs stop at the moment of the settings change.
enum class Failure : uint8_t { None, TenPercent, OneZone };

struct Measurement {
    double bytesPerSecondMean { 0 }; ///< Sent and received, each VM, in steady state.
    double bytesPerSecondMax { 0 };  ///< Of the VM with the most.
    double reachMs { 0 };            ///< From the change at one VM to the last VM that learns of it.
    double reachedAtOnce { 0 };      ///< Share of the running VMs reached within 1 s, before anybody is suspected.
    double agreeMs { 0 };            ///< From the failure until all running VMs have the same view again.
    size_t falseSuspicions { 0 };    ///< Samples, of one a second, in which a running VM was suspected.
};

Measurement measure(Topology const&, size_t size, Failure, uint64_t seed);

}
