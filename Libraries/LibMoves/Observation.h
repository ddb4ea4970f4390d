#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Comfreysail::Moves {

/// Result of one attempt to send a request to a target, as evidence about the target's version.
enum class Outcome : uint8_t {
    Success,
    Failure, ///< The target answered with a server error, an invalid answer, or not before the deadline.
    Lost,    ///< No connection, or the connection ended without an answer.
    Ignored, ///< Load shedding, cancellation, or a fault of the caller.
};

struct Observation {
    std::string service;
    std::string version;
    std::string route;
    std::string availabilityZone; ///< Availability zone of the target.
    std::string target;
    Outcome outcome { Outcome::Success };
    Core::Duration latency {};
    bool isCold { false };   ///< The target reported a cold start, so the latency is not counted.
    bool isLoaded { false }; ///< Every slot of the target was in use.
};

}
