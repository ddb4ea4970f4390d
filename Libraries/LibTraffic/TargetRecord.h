#pragma once

#include <LibTraffic/RegisteredTarget.h>
#include <LibTraffic/TargetLoad.h>
#include <optional>

namespace Comfreysail::Traffic {

/// One registered target and what this daemon has learnt about it.
struct TargetRecord {
    RegisteredTarget target;
    std::optional<Core::Instant> missingSince; ///< No longer registered, at a time when the registry may be incomplete.
    Core::Instant coldUntil {};
    std::optional<TargetLoad> load;
    Core::Instant loadMeasuredAt {};
    unsigned sentSinceLoad { 0 }; ///< Requests of this daemon that the load report does not count yet.
    unsigned inFlight { 0 };      ///< Requests of this daemon.
    bool hasLeft { false };       ///< Another target answered at its address, or it said that it drains.
    Core::Instant avoidedUntil {};
    unsigned failureStreak { 0 };

    bool operator==(TargetRecord const&) const = default;
};

}
