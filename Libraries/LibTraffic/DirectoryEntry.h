#pragma once

#include <LibTraffic/RegisteredTarget.h>
#include <LibTraffic/TargetLimit.h>
#include <LibTraffic/TargetLoad.h>
#include <LibTraffic/TargetPause.h>
#include <optional>

namespace Comfreysail::Traffic {

/// A registered target and this daemon's state for it.
struct DirectoryEntry {
    RegisteredTarget target;
    /// When it was first missing from the registry, whose list may be incomplete after an outage.
    std::optional<Core::Instant> missingSince;
    Core::Instant coldUntil {};
    std::optional<TargetLoad> load;
    Core::Instant loadMeasuredAt {};
    unsigned sentSinceLoad { 0 }; ///< Requests that this daemon sent after the load report was made.
    unsigned inFlight { 0 };      ///< In-flight requests of this daemon.
    bool hasLeft { false };       ///< Its address belongs to another target now, or it answered that it is draining.
    Core::Instant ejectedUntil {};
    unsigned failureStreak { 0 };
    std::optional<TargetPause> pause; ///< The target refused a request and wants none from this daemon for some time.
    std::optional<Core::Instant> saidLeavingAt; ///< When it said that it is leaving.
    std::optional<TargetLimit> limit;           ///< Of the rate of requests, as the target named it in its responses.

    bool operator==(DirectoryEntry const&) const = default;
};

}
