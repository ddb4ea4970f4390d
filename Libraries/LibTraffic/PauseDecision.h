#pragma once

#include <LibCore/Time.h>
#include <LibTraffic/TargetPause.h>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Traffic {

/// A request of a service whose targets allow no send, or none yet.
struct PausedRequest {
    uint64_t number { std::numeric_limits<uint64_t>::max() }; ///< Its place among equals; the highest one if it is new.
    unsigned rank { 0 };                                      ///< 0 is most urgent.
    Core::Instant arrivedAt {};
    Core::Instant deadline {};
    Core::Duration latencyTarget {}; ///< Zero if unknown.
    Core::Duration typicalWork {};   ///< Zero if unknown.
    std::string department {};       ///< Empty if it has none.

    bool operator==(PausedRequest const&) const = default;
};

/// Returns true if a response to the request can still arrive before its deadline if it is sent at `sentAt`.
bool canBeServed(PausedRequest const&, Core::Instant sentAt);

/// Returns true if a response to the request can still arrive within its latency target if it is sent at `sentAt`. A
/// request without a latency target is in time until its deadline.
bool canBeInTime(PausedRequest const&, Core::Instant sentAt);

/// Returns true if `first` is sent before `second`: the more urgent one, then one that can still be in time before one
/// that cannot, then the one whose deadline comes first.
bool isSentBefore(PausedRequest const& first, PausedRequest const& second, Core::Instant now);

enum class PauseAction : uint8_t {
    Wait,
    RefuseForDeadline, ///< It could be sent only when too little time is left to serve it.
    RefuseForRoom,     ///< Too many requests wait, or too many of its department.
};

std::string_view pauseActionName(PauseAction);

struct PauseDecision {
    PauseAction action { PauseAction::Wait };
    Core::Instant until {}; ///< When it could be sent, also if it is refused.

    bool operator==(PauseDecision const&) const = default;
};

/// Decides whether the request waits until it can be sent. A request that can be served before its deadline waits,
/// since a refusal would serve it later or not at all. `pauses` must not be empty; `ahead` is the number of requests
/// that are sent before it.
PauseDecision decideOnPause(
    PausedRequest const&, std::span<TargetPause const> pauses, size_t ahead, bool hasRoom, Core::Instant now);

/// The requests of a service that are going to use the next sends that its targets allow.
struct PauseQueue {
    std::vector<PausedRequest> waiting; ///< In this daemon, in no order.
    std::deque<Core::Instant> returns;  ///< Times at which refused clients were told to come back.

    /// Returns the number of waiting requests that are sent before this one.
    size_t ahead(PausedRequest const&, Core::Instant now) const;
    /// Returns the number of requests and clients that are sent before the next client that is refused now.
    size_t aheadOfNextReturn(Core::Instant now) const;
    /// Returns whether the request may wait. Each of the waiting departments, and one more, has an equal part of the
    /// room.
    bool hasRoom(PausedRequest const&) const;
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
