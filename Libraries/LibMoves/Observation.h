#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Comfreysail::Moves {

/// How one send to a target ended, as far as it tells something about the version.
enum class Outcome : uint8_t {
    Success,
    Failure, ///< The target answered with a server error, an invalid answer, or not before the deadline.
    Lost,    ///< No connection, or the connection ended without an answer.
    Ignored, ///< Shed, cancelled, or the caller's own fault.
};

struct Observation {
    std::string service;
    std::string version;
    std::string route;
    std::string availabilityZone; ///< Of the target.
    std::string target;
    Outcome outcome { Outcome::Success };
    Core::Duration latency {};
    bool isCold { false };   ///< The target reported a cold start; its latency says nothing about the version.
    bool isLoaded { false }; ///< The target had a request in each slot.
};

}
