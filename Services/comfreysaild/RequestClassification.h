#pragma once

#include <LibCore/Core.h>
#include <LibSettings/Settings.h>
#include <optional>
#include <string>

namespace Comfreysail::Daemon {

/// Where a request came in.
enum class Origin : uint8_t {
    Caller,
    Peer,
};

/// The target group that the entry daemon chose, as it is passed to the home in the Comfreysail-Group header.
struct ChosenGroup {
    std::string availabilityZone;
    unsigned shard { 0 };
    uint32_t draw { 0 }; ///< Random number of the request, so that all daemons choose the same version for it.

    bool operator==(ChosenGroup const&) const = default;
};

/// Range of a request's draw; dividing by it gives a number in [0, 1).
inline constexpr double drawRange = 4294967296.0;

/// Everything that the settings and the head decide about a request.
struct RequestClassification {
    std::string service;
    std::string department;      ///< As the caller says; part of the claim key, so that a move does not change it.
    std::string shareDepartment; ///< Whose settings and share apply; another one while a department moves.
    std::string routeName;
    Settings::RouteClass routeClass { Settings::RouteClass::Lookup };
    bool isIdempotent { false };
    Settings::EffectiveSettings settings;
    Core::Instant deadline;
    std::string requestId;
    unsigned depth { 0 };
    unsigned hops { 0 };
    std::optional<std::string> idempotencyKey;
    std::optional<ChosenGroup> chosenGroup; ///< Only from a peer.
};

}
