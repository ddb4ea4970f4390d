#include "CallTable.h"
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Moves;
using namespace std::chrono_literals;

namespace {

Evidence evidenceWith(std::vector<Calls> const& calls)
{
    Evidence evidence("vm-1", 1);
    evidence.watch({ makeMove() });
    recordCalls(evidence, calls, startOfMove() + 1s);
    return evidence;
}

MoveScope scope() { return { 20, { "lookup", "submit" } }; }

}

// In the first third of the time, a version without enough evidence must not get a large share.
TEST_CASE("ShareAt_Evidence_LimitsTheShareUntilRoutesAndLoadAreProven")
{
    struct Case {
        std::string name;
        std::vector<Calls> calls;
        double limit;
    };
    std::vector<Case> const table {
        { "nothing", {}, 0.01 },
        { "one route", { { "v2", 1, "arima", 500 } }, 0.05 },
        { "both routes, few calls", { { "v2", 1, "arima", 40 }, { "v2", 1, "arima", 40, 0, "submit" } }, 0.10 },
        { "both routes, many calls", { { "v2", 1, "arima", 340 }, { "v2", 1, "arima", 40, 0, "submit" } }, 0.20 },
    };
    for (auto const& testCase : table) {
        CAPTURE(testCase.name);
        auto const evidence = evidenceWith(testCase.calls);
        for (auto const second : { 1s, 10s, 29s })
            CHECK(shareAt(makeMove(), evidence, scope(), startOfMove() + second) <= testCase.limit + 1e-9);
    }
    CHECK(shareAt(makeMove(), evidenceWith(table.back().calls), scope(), startOfMove() + 60s) > 0.1);
}

// Too little traffic gives no evidence, but the move must still be complete by the operators' date.
TEST_CASE("ShareAt_NoEvidence_StartsAtZeroAndFinishesOnTime")
{
    auto const evidence = evidenceWith({});
    CHECK(shareAt(makeMove(), evidence, scope(), startOfMove() - 1ms) == 0);
    CHECK(shareAt(makeMove(), evidence, scope(), startOfMove() + 96s) == 1);
    CHECK(shareAt(makeMove(), evidence, scope(), startOfMove() + 100s) == 1);
    double previous = 0;
    for (auto time = startOfMove(); time < startOfMove() + 100s; time += 100ms) {
        auto const share = shareAt(makeMove(), evidence, scope(), time);
        CHECK(share >= previous);
        previous = share;
    }
}

// A move that was taken back must stay at a share of 0: if its row says so, if only the verdict is known yet, and after
// its finish time.
TEST_CASE("ShareAt_TakenBack_IsZeroPermanently")
{
    auto evidence = evidenceWith({ { "v2", 1, "arima", 5000 } });
    auto move = makeMove();
    move.state = MoveState::TakenBack;
    CHECK(shareAt(move, evidence, scope(), startOfMove() + 200s) == 0);
    CHECK(evidence.noteBad("m1", "failures"));
    CHECK_FALSE(evidence.noteBad("m1", "another reason"));
    CHECK(evidence.badReason("m1") == "failures");
    for (auto const state : { MoveState::Declared, MoveState::Paused, MoveState::Done }) {
        move.state = state;
        CHECK(shareAt(move, evidence, scope(), startOfMove() + 200s) == 0);
    }
    auto const row = nextRow(makeMove(), evidence, startOfMove() + 200s);
    REQUIRE(row);
    CHECK(row->state == MoveState::TakenBack);
    CHECK_FALSE(nextRow(*row, evidence, startOfMove() + 300s));
}

// Operators pause a move to inspect it, so its share must not grow during the pause.
TEST_CASE("ShareAt_Paused_KeepsTheShareAtThePause")
{
    auto const evidence = evidenceWith({});
    auto move = makeMove();
    auto const before = shareAt(move, evidence, scope(), startOfMove() + 60s);
    move.state = MoveState::Paused;
    move.pausedAt = startOfMove() + 60s;
    CHECK(shareAt(move, evidence, scope(), startOfMove() + 90s) == before);
    CHECK(shareAt(move, evidence, scope(), startOfMove() + 500s) == before);
    CHECK_FALSE(nextRow(move, evidence, startOfMove() + 500s));
}

// A zone move completes by its finish time without evidence. A department that leaves is served until then.
TEST_CASE("ShareAt_ZonesAndDepartments_DependOnTimeOnly")
{
    auto const evidence = evidenceWith({});
    auto move = makeMove();
    move.kind = MoveKind::AvailabilityZone;
    CHECK(shareAt(move, evidence, {}, startOfMove() + 40s) == Approx(0.5));
    move.kind = MoveKind::Department;
    move.to = "";
    CHECK(shareAt(move, evidence, {}, startOfMove() + 99s) == 0);
    CHECK(shareAt(move, evidence, {}, startOfMove() + 100s) == 1);
}

// A fault that occurs only under load must be detectable while the share is small, so a small share must use few
// targets.
TEST_CASE("TargetLimitAt_SmallShare_ConcentratesTheLoad")
{
    CHECK(targetLimitAt(0.01, 20) == 3);
    CHECK(targetLimitAt(0.5, 20) == 10);
    CHECK(targetLimitAt(1, 20) == 20);
    CHECK(targetLimitAt(0.1, 2) == 2);
}
