#pragma once

#include <LibCore/Time.h>
#include <LibTraffic/TargetPause.h>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string_view>

namespace Comfreysail::Traffic {

/// A request of a service all of whose targets want no requests now.
struct PausedRequest {
    Core::Instant arrivedAt {};
    Core::Instant deadline {};
    Core::Duration latencyTarget {}; ///< Zero if unknown.
    Core::Duration typicalWork {};   ///< Zero if unknown.

    bool operator==(PausedRequest const&) const = default;
};

enum class PauseAction : uint8_t {
    Wait,
    RefuseForDeadline, ///< It could be sent only when too little time is left to serve it.
    RefuseForLatency,  ///< Waiting would take too much of its latency target.
};

std::string_view pauseActionName(PauseAction);

struct PauseDecision {
    PauseAction action { PauseAction::Wait };
    Core::Instant until {}; ///< When it could be sent, also if it is refused.

    bool operator==(PauseDecision const&) const = default;
};

/// Decides whether the request waits until it can be sent. `pauses` must not be empty; `ahead` is the number of
/// requests that are sent before it.
PauseDecision decideOnPause(PausedRequest const&, std::span<TargetPause const> pauses, size_t ahead, Core::Instant now);

/// The requests of a service that are going to use the first sends after the pauses of its targets.
struct PauseQueue {
    size_t waiting { 0 };              ///< Requests that wait in this daemon.
    std::deque<Core::Instant> returns; ///< Times at which refused clients were told to come back.

    /// Returns the number of requests that are sent before the next one.
    size_t ahead(Core::Instant now) const;
    void noteReturn(Core::Instant at, Core::Instant now);
};

/// When a refused client should come back.
struct ReturnAdvice {
    Core::Duration after {};
    bool hasPlace { false }; ///< It comes back when it can be sent, and takes the place of a request.

    bool operator==(ReturnAdvice const&) const = default;
};

/// Returns when a refused client should come back: when it can be sent after `ahead` others, but after a third of its
/// time at most, if that is known, since a client that waits for longer has no time to be served. `uniform` in [0, 1)
/// spreads the clients.
ReturnAdvice adviseReturn(std::span<TargetPause const> pauses, size_t ahead, std::optional<Core::Duration> timeLeft,
    double uniform, Core::Instant now);

}
