#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Comfreysail::Routing {

/// What a request needs from its target.
struct PickRequest {
    /// Only targets of this version are used; empty means any.
    std::string version;

    bool idempotent { false };

    /// The request may have crashed a target. It gets a target with nothing else in flight, and nothing is sent there
    /// until it has finished, so that a second crash has only one possible cause.
    bool suspect { false };

    /// Which typical service time applies, below costClassCount; the class of the route is a good choice.
    uint8_t costClass { 0 };

    /// Targets that already failed this request.
    std::vector<std::string> excludedTargets;

    bool operator==(PickRequest const&) const = default;
};

}
