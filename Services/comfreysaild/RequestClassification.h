#pragma once

#include <LibCore/Core.h>
#include <LibSettings/Settings.h>
#include <optional>
#include <string>

namespace Comfreysail::Daemon {

/// Who sent a request: a caller or another daemon.
enum class Origin : uint8_t {
    Caller,
    Peer,
};

/// The target group that the entry daemon chose, as it is passed to the home in the Comfreysail-Group header.
struct ChosenGroup {
    std::string availabilityZone;
    unsigned shard { 0 };
    uint32_t draw { 0 }; ///< Random number of the request; passed on so that all daemons choose the same version.

    bool operator==(ChosenGroup const&) const = default;
};

/// Number of values that a draw can take; a draw divided by it is in [0, 1).
inline constexpr double drawRange = 4294967296.0;

/// The properties of a request that follow from its head and the settings.
struct RequestClassification {
    std::string service;
    std::string department;          ///< As sent by the caller. Part of the claim key, so a move does not change it.
    std::string effectiveDepartment; ///< Its settings and capacity share apply; differs during a department's move.
    std::string routeName;
    Settings::RouteClass routeClass { Settings::RouteClass::Lookup };
    bool isIdempotent { false };
    Settings::EffectiveSettings settings;
    Core::Instant deadline;
    std::string requestId;
    unsigned depth { 0 };
    unsigned hops { 0 };
    std::optional<std::string> idempotencyKey;
    std::optional<ChosenGroup> chosenGroup; ///< Only in requests from a peer.
};

}
