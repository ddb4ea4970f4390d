#include "CallTable.h"
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Moves;
using namespace std::chrono_literals;

namespace {

struct JudgeCase {
    std::string name;
    bool isBad;
    std::vector<Calls> calls;
    unsigned targetCount { 6 };
};

std::vector<JudgeCase> cases()
{
    Calls const old { "v1", 0, "arima", 200, 0 };
    Calls const oldInOtherZone { "v1", 0, "tunapuna", 200, 0 };
    auto const lost = Outcome::Lost;
    return {
        { "healthy", false, { old, { "v2", 1, "arima", 50 }, { "v2", 2, "arima", 50 } } },
        { "all calls fail", true, { old, { "v2", 1, "arima", 0, 5 }, { "v2", 2, "arima", 0, 5 } } },
        { "one in five fails", true, { old, { "v2", 1, "arima", 40, 10 }, { "v2", 2, "arima", 40, 10 } } },
        { "all connections lost", true,
            { old, { "v2", 1, "arima", 0, 5, "lookup", 10, lost }, { "v2", 2, "arima", 0, 5, "lookup", 10, lost } } },
        { "only a rare route fails", true,
            { old, { "v1", 0, "arima", 20, 0, "submit" }, { "v2", 1, "arima", 900 }, { "v2", 2, "arima", 900 },
                { "v2", 1, "arima", 0, 3, "submit" }, { "v2", 2, "arima", 0, 3, "submit" } } },
        { "no call of the old version to compare with", true,
            { { "v2", 1, "arima", 0, 5 }, { "v2", 2, "arima", 0, 5 } } },
        { "only target fails", true, { old, { "v2", 1, "arima", 0, 9 } }, 1 },
        { "too few failures", false, { old, { "v2", 1, "arima", 1, 1 }, { "v2", 2, "arima", 1, 1 } } },
        { "old version fails as much", false,
            { { "v1", 0, "arima", 160, 40 }, { "v2", 1, "arima", 40, 10 }, { "v2", 2, "arima", 40, 10 } } },
        { "one target fails", false, { old, { "v2", 1, "arima", 0, 50 }, { "v2", 2, "arima", 50 } } },
        { "one target fails and others fail occasionally", false,
            { old, { "v2", 1, "arima", 0, 50 }, { "v2", 2, "arima", 199, 1 }, { "v2", 3, "arima", 199, 1 } } },
        { "a zone fails for both versions", false,
            { oldInOtherZone, { "v1", 0, "arima", 0, 200 }, { "v2", 1, "arima", 0, 20 }, { "v2", 2, "arima", 0, 20 },
                { "v2", 3, "tunapuna", 40 } } },
        { "a zone without the old version fails", false,
            { oldInOtherZone, { "v2", 1, "arima", 0, 20 }, { "v2", 2, "arima", 0, 20 }, { "v2", 3, "tunapuna", 40 } } },
        { "the only zone of the new version loses connections", false,
            { oldInOtherZone, { "v2", 1, "arima", 0, 20, "lookup", 10, lost },
                { "v2", 2, "arima", 0, 20, "lookup", 10, lost } } },
        { "fails in one zone where the old version is healthy", true,
            { old, oldInOtherZone, { "v2", 1, "arima", 0, 10 }, { "v2", 2, "arima", 0, 10 },
                { "v2", 3, "tunapuna", 40 } } },
        { "four times as slow", true,
            { old, { "v2", 1, "arima", 15, 0, "lookup", 40 }, { "v2", 2, "arima", 15, 0, "lookup", 40 } } },
        { "somewhat slower", false,
            { old, { "v2", 1, "arima", 50, 0, "lookup", 14 }, { "v2", 2, "arima", 50, 0, "lookup", 14 } } },
        { "one target is slow", false,
            { old, { "v2", 1, "arima", 50, 0, "lookup", 90 }, { "v2", 2, "arima", 50, 0, "lookup", 10 } } },
        { "cold targets are slow", false,
            { old, { "v2", 1, "arima", 50, 0, "lookup", 90, Outcome::Failure, true },
                { "v2", 2, "arima", 50, 0, "lookup", 90, Outcome::Failure, true } } },
        { "routes differ in latency and mix", false,
            { old, { "v1", 0, "arima", 50, 0, "submit", 200 }, { "v2", 1, "arima", 50, 0, "submit", 200 },
                { "v2", 2, "arima", 50, 0, "submit", 200 } } },
    };
}

}

// A bad version that is not taken back harms callers. A good version that is taken back because of a faulty target or
// zone is not in use by the operators' date.
TEST_CASE("Judge_TableOfFaults_FindsBadVersionsOnly")
{
    auto const now = startOfMove() + 20s;
    for (auto const& testCase : cases()) {
        CAPTURE(testCase.name);
        Evidence evidence("vm-1", 1);
        evidence.watch({ makeMove() });
        recordCalls(evidence, testCase.calls, now);
        auto const verdict = judge(makeMove(), evidence, { testCase.targetCount, {} }, now);
        CHECK((verdict.kind == VerdictKind::Bad) == testCase.isBad);
    }
}

// A fault may begin after a long healthy time. The earlier successes must not hide the failures.
TEST_CASE("Judge_FailuresAfterManySuccesses_AreSeenWithinTheRecentWindow")
{
    Evidence evidence("vm-1", 1);
    evidence.watch({ makeMove() });
    recordCalls(evidence, { { "v1", 0, "arima", 5000 }, { "v2", 1, "arima", 5000 }, { "v2", 2, "arima", 5000 } },
        startOfMove() + 10s);
    auto const now = startOfMove() + 50s;
    recordCalls(evidence, { { "v1", 0, "arima", 100 }, { "v2", 1, "arima", 5, 5 }, { "v2", 2, "arima", 5, 5 } }, now);
    CHECK(judge(makeMove(), evidence, { 6, {} }, now + 1s).kind == VerdictKind::Bad);
}

// A zone that fails late affects a larger part of the new version's calls than of the old version's, counted since the
// start of the move. This must not look like a fault of the version.
TEST_CASE("Judge_ZoneFailsLateForBothVersions_IsNoFaultOfTheVersion")
{
    Evidence evidence("vm-1", 1);
    evidence.watch({ makeMove() });
    recordCalls(evidence, { { "v1", 0, "arima", 5000 }, { "v1", 0, "tunapuna", 5000 }, { "v2", 1, "arima", 20 } },
        startOfMove() + 10s);
    recordCalls(evidence,
        { { "v1", 0, "arima", 0, 100 }, { "v1", 0, "tunapuna", 100 }, { "v2", 1, "arima", 0, 50 },
            { "v2", 2, "arima", 0, 50 }, { "v2", 3, "tunapuna", 100 } },
        startOfMove() + 50s);
    // The zone recovers, but its failures remain in the counts since the start.
    recordCalls(evidence, { { "v1", 0, "arima", 100 }, { "v1", 0, "tunapuna", 100 }, { "v2", 1, "arima", 20 } },
        startOfMove() + 59s);
    for (auto const later : { 1s, 3s, 9s, 30s })
        CHECK(judge(makeMove(), evidence, { 6, {} }, startOfMove() + 50s + later).kind == VerdictKind::Undecided);
}
