#include <LibHTTP/SteppedWait.h>

#include <algorithm>

namespace Comfreysail::HTTP {

using Core::Instant;

Instant SteppedWait::endOfStep(Instant now) const
{
    return uncountedStepsLeft > 0 ? std::min(deadline, now + stepLength) : deadline;
}

void SteppedWait::noteEndOfStep(Instant plannedAt, Instant now)
{
    auto const delay = now - plannedAt;
    if (uncountedStepsLeft == 0 || delay <= maxTimerDelay)
        return;
    --uncountedStepsLeft;
    deadline += stepLength + delay;
}

}
