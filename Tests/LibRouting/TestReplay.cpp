#include <Replay/DirectPolicy.h>
#include <Replay/FallbackPolicy.h>
#include <Replay/HomePolicy.h>
#include <Replay/Simulation.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::RoutingReplay;

namespace {

Trace const& committedTrace()
{
    static Trace const trace = Core::takeValue(readTrace(TRACE_DIRECTORY));
    return trace;
}

template<typename PolicyType, typename... Arguments> Outcome replay(Scenario const& scenario, Arguments... arguments)
{
    PolicyType policy(arguments...);
    return Simulation(committedTrace(), scenario, policy).run();
}

Outcome replayHomes(Scenario const& scenario, uint64_t seed = 7)
{
    return replay<HomePolicy>(scenario, HomePolicy::Exchange::Spill, seed);
}

}

// Decisions must not depend on addresses, hash order or the clock, so that an incident can be replayed.
TEST_CASE("Replay_SameTraceAndSeed_GivesSameDecisions")
{
    Scenario const scenario { "slow phases", 0.85, 1, true };
    auto const first = replayHomes(scenario);
    CHECK(first.decisions == replayHomes(scenario).decisions);
    CHECK(first.decisions != replayHomes(scenario, 8).decisions);
}

// The committed trace must equal the output of its generator, so that longer traces of the same kind can be generated.
TEST_CASE("Trace_CommittedFile_EqualsGenerator")
{
    CHECK(committedTrace() == generateTrace(20261204, 40'000, std::chrono::seconds(180)));
}

// The design goal at 85% load with targets that slow down suddenly, within the budget for load reports.
TEST_CASE("Homes_SlowPhasesAtHighLoad_StayNearBoundAndWithinBudget")
{
    Scenario const scenario { "slow phases", 0.85, 3, true };
    auto const homes = replayHomes(scenario);
    auto const bound = replay<DirectPolicy>(scenario, DirectPolicy::Kind::PerfectJoinShortestQueue, 7);
    auto const powerOfTwo = replay<DirectPolicy>(scenario, DirectPolicy::Kind::PowerOfTwo, 7);
    CHECK(homes.p99 * 10 <= bound.p99 * 13);
    CHECK(homes.p99 * 2 <= powerOfTwo.p99);
    CHECK(homes.refusedShare == 0);
    CHECK(homes.measurementBytesPerSecond <= Routing::loadReportBudget);
}

// While the home is unreachable, the daemons must do no worse than they would without homes.
TEST_CASE("Fallback_SlowPhases_NoWorseThanPowerOfTwo")
{
    auto const load = GENERATE(0.5, 0.7, 0.85);
    Scenario const scenario { "slow phases", load, 2, true };
    auto const powerOfTwo = replay<DirectPolicy>(scenario, DirectPolicy::Kind::PowerOfTwo, 7);
    auto const fallback = replay<FallbackPolicy>(scenario, 7);
    CHECK(fallback.p99 <= powerOfTwo.p99);
    CHECK(fallback.refusedShare <= powerOfTwo.refusedShare);
}

// Cold targets of a zone that returns must not be overloaded, and the other zones must serve the requests meanwhile.
TEST_CASE("Homes_ZoneLeavesAndReturns_ColdTargetsStayWithinLimitAndNothingIsLost")
{
    Scenario scenario { "zone out and back", 0.7, 1, false };
    scenario.zoneOut = { std::chrono::seconds(3), std::chrono::seconds(6) };
    auto const homes = replayHomes(scenario);
    CHECK(homes.refusedShare < 0.001);
    CHECK(homes.mostWhileCold <= 3);
    CHECK(homes.p99 < std::chrono::milliseconds(100));
}

// A department that sends ten times its share must not raise the p99 of the others by more than 20%.
TEST_CASE("Homes_NoisyDepartment_OthersKeepTheirP99")
{
    Scenario scenario { "departments", 0.7, 1, false };
    auto const quiet = replayHomes(scenario);
    scenario.noisyFactor = 10;
    auto const noisy = replayHomes(scenario);
    CHECK(noisy.p99OfOthers * 10 <= quiet.p99OfOthers * 12);
    CHECK(noisy.refusedShareOfOthers == 0);
}
