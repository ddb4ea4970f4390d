#pragma once

#include <LibCore/ErrorKind.h>
#include <LibTraffic/TrafficPlan.h>
#include <optional>
#include <span>
#include <string_view>

namespace Comfreysail::Daemon {

/// The department of a request and what follows from it. The pointer is valid as long as the plan.
struct RequestIdentity {
    Access::Department const* department { nullptr }; ///< nullptr if the request has none.
    unsigned rank { 0 };                              ///< Priority of the department or the route; 0 is most urgent.
    std::optional<Core::ErrorKind> keyFault; ///< Why the key gives no department; absent too if the plan has none.
    bool isKeyNeeded { false };              ///< A request with a fault of the key is refused.

    bool operator==(RequestIdentity const&) const = default;
};

/// Identifies a request by the values of all its Authorization fields.
RequestIdentity identifyRequest(
    Traffic::TrafficPlan const&, Traffic::RequestRoute const&, std::span<std::string_view const> authorizationValues);

}
