#pragma once

#include <LibCore/Time.h>

namespace Comfreysail::HTTP {

/// A limit on the time that the other side takes, which is waited for in steps. A step that ended late, because this
/// process got no processor time, does not count: what the other side sent meanwhile is read first.
struct SteppedWait {
    static constexpr Core::Duration stepLength = std::chrono::milliseconds(50);
    /// Timers of a process that gets its processor time fire at most a few milliseconds late.
    static constexpr Core::Duration maxTimerDelay = std::chrono::milliseconds(10);

    Core::Instant deadline {};
    /// The limit ends even if this process is always late. 0 makes the wait one step that always counts.
    unsigned uncountedStepsLeft { 0 };

    /// Returns when the step that begins now ends.
    Core::Instant endOfStep(Core::Instant now) const;
    /// The step that was to end at `plannedAt` has ended now. The limit is over if `deadline` has passed afterwards.
    void noteEndOfStep(Core::Instant plannedAt, Core::Instant now);
};

}
