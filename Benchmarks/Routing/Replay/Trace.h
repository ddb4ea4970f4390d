#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Comfreysail::RoutingReplay {

/// One recorded request. It does not depend on the load: the gap is scaled when it is replayed.
struct TraceRequest {
    uint16_t gap { 0 };  ///< Time since the request before, in 1/4096 of the mean gap.
    uint16_t work { 0 }; ///< Work in units of 2 microseconds of a healthy target's time.
    uint8_t decider { 0 };
    uint8_t department { 0 };

    bool operator==(TraceRequest const&) const = default;
};

/// A time during which a target runs at a tenth of its speed.
struct SlowPhase {
    uint8_t target { 0 };
    Core::Duration start { 0 };
    Core::Duration length { 0 };

    bool operator==(SlowPhase const&) const = default;
};

/// What is replayed. The same file serves all loads.
struct Trace {
    std::vector<TraceRequest> requests;
    std::vector<SlowPhase> slowPhases; ///< In the order of their start.

    bool operator==(Trace const&) const = default;
};

/// Makes a trace with Poisson arrivals and exponential work; equal arguments give equal traces.
Trace generateTrace(uint64_t seed, size_t requests, Core::Duration slowPhaseTime);

/// Writes and reads requests.bin (6 bytes for each request, little endian) and slow-phases.txt in a folder.
Core::Result<Core::Empty> writeTrace(Trace const&, std::string const& folder);
Core::Result<Trace> readTrace(std::string const& folder);

}
