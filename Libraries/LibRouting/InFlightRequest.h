#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Comfreysail::Routing {

/// A request that was sent to a target and has not finished.
struct InFlightRequest {
    Core::Instant sentAt;
    Core::Instant startedAt; ///< When a slot became free for it, judging by this daemon's own sends only.
    bool isRunning { false };
    uint8_t costClass { 0 };

    bool operator==(InFlightRequest const&) const = default;
};

}
