#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <optional>
#include <span>

namespace Comfreysail::Traffic {

/// A time for which a target wants no requests of this daemon, and the gradual return of its load afterwards. All
/// daemons that were told follow the same rising rate, each with an equal part of it and a random first send, so that
/// the total rises gradually without coordination.
struct TargetPause {
    Core::Instant toldAt {};
    Core::Instant until {};       ///< End of the time that the target stated.
    Core::Duration returnTime {}; ///< Time after `until` during which the sends of this daemon are limited.
    double fullRate { 0 };        ///< Requests per second that the target starts at full load.
    double partOfRate { 1 };      ///< This daemon's part of it.
    double phase { 0 };           ///< Part of the time of one send by which the first one is delayed, in [0, 1).
    unsigned sends { 0 };         ///< Sends after `until` that were made, or forgone.

    bool operator==(TargetPause const&) const = default;
};

/// What a target can do, for makePause().
struct PausedTarget {
    unsigned slots { 0 };
    Core::Duration typicalWork {}; ///< Zero if unknown.
    double divisor { 1 };          ///< Number of daemons that share the target, at least 1, see limitDivisor().
};

/// Returns the pause of a target that has just asked for it. `uniform` in [0, 1) is random. A single daemon sends at
/// once after the pause.
TargetPause makePause(Core::Duration stated, PausedTarget const&, double uniform, Core::Instant now);

/// Returns true during the time that the target stated.
bool isPaused(std::optional<TargetPause> const&, Core::Instant now);

/// Returns true if this daemon may send the target a request now.
bool isSendAllowed(std::optional<TargetPause> const&, Core::Instant now);

/// Returns the pause after a request was sent. Sends that were allowed earlier and not made are forgone, except for
/// one, so that a daemon without requests for a while does not send many at once.
TargetPause withSend(TargetPause, Core::Instant now);

/// Returns when a request can be sent if `ahead` others are sent before it, to any of the targets. `pauses` must not be
/// empty. After the return, waiting requests follow each other at the full rate.
Core::Instant sendTime(std::span<TargetPause const> pauses, size_t ahead);

}
