#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <optional>

namespace Comfreysail::Traffic {

/// A target's limit for the requests of all daemons together, and this daemon's part of it. Each daemon gets an equal
/// part, so that all stay within the limit without coordination.
struct TargetLimit {
    double requestsPerSecond { 0 };
    Core::Instant namedAt {};     ///< When the target named it last.
    Core::Instant nextAllowed {}; ///< When this daemon may send the next request.
    Core::Instant probedAt {};    ///< When the target was probed last because of the limit.
    bool isInProbes { false };    ///< The target names it in responses to load probes too.

    bool operator==(TargetLimit const&) const = default;
};

/// Returns by what a daemon divides a target's limit to get its own part. Each daemon uses `targetsPerDaemon` of the
/// `targets` at most, chosen by a hash, so some targets are used by more daemons than others.
double limitDivisor(size_t daemons, size_t targets, size_t targetsPerDaemon);

/// The time between two sends of this daemon to the target.
Core::Duration sendInterval(TargetLimit const&, double divisor);

/// Returns true if this daemon may send a request now. A limit that the target has not named for 5 min counts no
/// longer, so that a target which names zero is tried again.
bool isSendAllowed(std::optional<TargetLimit> const&, Core::Instant now);

/// Returns the limit after the target named it. `phase` in [0, 1) spreads the next sends of daemons that hear of the
/// limit at the same time.
TargetLimit withNamedLimit(std::optional<TargetLimit> const&, double requestsPerSecond, bool isInProbe, double divisor,
    double phase, Core::Instant now);

/// Returns true if the target has to be probed to learn whether the limit still holds: a daemon that sends it nothing
/// would not hear of its end otherwise.
bool isProbeDue(TargetLimit const&, Core::Instant now);

/// Returns the limit after a request was sent.
TargetLimit withSend(TargetLimit, double divisor, Core::Instant now);

/// Returns true if a response without a limit, to a request or load probe that was sent at `sentAt`, ends the limit.
bool isEndedBy(TargetLimit const&, bool isProbe, Core::Instant sentAt);

}
