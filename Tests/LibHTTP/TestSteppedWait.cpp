#include <LibHTTP/HTTP.h>
#include <catch2/catch.hpp>

using namespace Comfreysail::HTTP;
using namespace Comfreysail::Core;
using namespace std::chrono_literals;

namespace {

Instant at(Duration time) { return Instant {} + 1h + time; }

constexpr Duration limit = 250ms;
constexpr unsigned uncountedSteps = 5;

/// Returns when a limit that began at 0 is over if the timer of each step fires late by `delay`.
Duration endWithDelays(Duration delay, unsigned maxUncountedSteps = uncountedSteps)
{
    SteppedWait wait { at(limit), maxUncountedSteps };
    auto now = at(0ms);
    while (now < wait.deadline) {
        auto const plannedAt = wait.endOfStep(now);
        now = plannedAt + delay;
        wait.noteEndOfStep(plannedAt, now);
    }
    return now - at(0ms);
}

}

// Guards against using a silent target for longer than its limit while the process gets its processor time.
TEST_CASE("SteppedWait_TimersFireInTime_LimitIsUnchanged", "[SteppedWait]")
{
    CHECK(endWithDelays(0ms) == limit);
    auto const withSmallDelays = endWithDelays(SteppedWait::maxTimerDelay);
    CHECK(withSmallDelays >= limit);
    CHECK(withSmallDelays <= limit + SteppedWait::maxTimerDelay);
}

// Guards against waiting for a silent target without end in a process that is always late: each step is repeated at
// most once.
TEST_CASE("SteppedWait_TimersAreAlwaysLate_LimitEnds", "[SteppedWait]")
{
    for (auto const delay : { 11ms, 60ms, 93ms, 400ms }) {
        auto const end = endWithDelays(delay);
        CHECK(end >= limit + uncountedSteps * SteppedWait::stepLength);
        CHECK(end <= 2 * uncountedSteps * (SteppedWait::stepLength + delay));
    }
}

// Guards against giving up when a process that was paused continues: the response of the other side may have arrived.
TEST_CASE("SteppedWait_PauseOverTheLimit_LeavesTheTimeThatWasLeft", "[SteppedWait]")
{
    for (auto const pause : { 100ms, 600ms, 1900ms }) {
        SteppedWait wait { at(limit), uncountedSteps };
        auto const firstStep = wait.endOfStep(at(0ms));
        CHECK(firstStep == at(SteppedWait::stepLength));
        wait.noteEndOfStep(firstStep, firstStep);
        auto const secondStep = wait.endOfStep(firstStep);
        auto const resumed = secondStep + pause;
        wait.noteEndOfStep(secondStep, resumed);
        CHECK(wait.deadline == resumed + limit - SteppedWait::stepLength);
    }
}

// Limits that do not concern the other side's time, such as a caller's deadline, stay as they are.
TEST_CASE("SteppedWait_WithoutUncountedSteps_IsOneStep", "[SteppedWait]")
{
    SteppedWait wait { at(limit) };
    CHECK(wait.endOfStep(at(0ms)) == at(limit));
    wait.noteEndOfStep(at(limit), at(2s));
    CHECK(wait.deadline == at(limit));
}
