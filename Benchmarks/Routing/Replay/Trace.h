#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Comfreysail::RoutingReplay {

/// One request of a trace. It is independent of the load, because the gap is scaled when it is replayed.
struct TraceRequest {
    uint16_t gap { 0 };  ///< Time since the previous request, in 1/4096 of the mean gap.
    uint16_t work { 0 }; ///< Service time on a healthy target, in units of 2 microseconds.
    uint8_t daemon { 0 };
    uint8_t department { 0 };

    bool operator==(TraceRequest const&) const = default;
};

/// A period in which a target runs at a tenth of its speed.
struct SlowPhase {
    uint8_t target { 0 };
    Core::Duration start { 0 };
    Core::Duration length { 0 };

    bool operator==(SlowPhase const&) const = default;
};

/// The input of a replay. The same trace is used for all loads.
struct Trace {
    std::vector<TraceRequest> requests;
    std::vector<SlowPhase> slowPhases; ///< Sorted by start.

    bool operator==(Trace const&) const = default;
};

/// Generates a trace with Poisson arrivals and exponentially distributed work. Equal arguments give equal traces.
Trace generateTrace(uint64_t seed, size_t requests, Core::Duration slowPhaseTime);

/// Write and read requests.bin (6 bytes for each request, little endian) and slow-phases.txt in a folder.
Core::Result<Core::Empty> writeTrace(Trace const&, std::string const& folder);
Core::Result<Trace> readTrace(std::string const& folder);

}
