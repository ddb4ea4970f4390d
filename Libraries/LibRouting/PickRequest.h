#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Comfreysail::Routing {

/// Requirements of a request on its target.
struct PickRequest {
    /// Only targets of this version are used; empty means any.
    std::string version;

    bool idempotent { false };

    /// The request may have crashed a target. It is sent only to a target with no other requests in flight, which gets
    /// no further requests until it has finished, so that a second crash has only one possible cause.
    bool suspect { false };

    /// Selects the typical service time to use; below costClassCount. Callers usually pass the class of the route.
    uint8_t costClass { 0 };

    /// Targets that already failed this request.
    std::vector<std::string> excludedTargets;

    bool operator==(PickRequest const&) const = default;
};

}
