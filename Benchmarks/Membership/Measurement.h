#pragma once

#include "Topology.h"
#include <cstddef>
#include <cstdint>

namespace Comfreysail::Benchmarks {

/// The VMs that fail at the moment of the settings change.
enum class Failure : uint8_t { None, TenPercent, OneZone };

struct Measurement {
    double bytesPerSecondMean { 0 }; ///< Mean over the VMs in steady state, sent and received.
    double bytesPerSecondMax { 0 };  ///< Of the VM with the most traffic.
    double reachMs { 0 };            ///< Time from the settings change at one VM until all running VMs know it.
    /// Fraction of the running VMs reached within 1 s, before any failed VM is suspected.
    double reachedInOneSecond { 0 };
    double agreeMs { 0 }; ///< Time from the failure until all running VMs have the same view again.
    /// Sum over samples, taken once a second before the failure, of the VMs that did not see exactly all VMs as live.
    size_t falseSuspicions { 0 };
};

Measurement measure(Topology const&, size_t size, Failure, uint64_t seed);

}
