#include "CallTable.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace Comfreysail;
using namespace Comfreysail::Moves;
using namespace std::chrono_literals;

namespace {

constexpr size_t unlimited = 100'000;

Evidence makeEvidence(std::string origin, uint64_t incarnation = 1)
{
    Evidence evidence(std::move(origin), incarnation);
    evidence.watch({ makeMove() });
    return evidence;
}

CountersByKey totalsOf(Evidence const& evidence) { return evidence.sinceStart("orders", "v2", startOfMove()); }

}

// Daemons compute the share independently of each other, so duplicated or reordered messages must not lead to different
// shares.
TEST_CASE("Evidence_DeltasReorderedDuplicatedAndLate_GiveTheSameCounts")
{
    auto source = makeEvidence("vm-1");
    std::vector<EvidenceDelta> deltas;
    auto now = startOfMove();
    for (int round = 0; round < 20; ++round) {
        now += 200ms;
        recordCalls(source, { { "v2", 1, "arima", 3, 1 }, { "v2", 2, "arima", 5 } }, now);
        deltas.push_back(source.takeDelta(unlimited, now));
        if (round % 3 == 0)
            deltas.push_back(deltas.front());
    }
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        std::shuffle(deltas.begin(), deltas.end(), std::mt19937_64(seed));
        auto receiver = makeEvidence("vm-2");
        for (auto const& delta : deltas)
            receiver.merge(delta, now);
        CHECK(totalsOf(receiver) == totalsOf(source));
        CHECK(receiver.recent("orders", "v2", now) == source.recent("orders", "v2", now));
        auto const later = startOfMove() + 40s;
        CHECK(shareAt(makeMove(), receiver, { 6, {} }, later) == shareAt(makeMove(), source, { 6, {} }, later));
    }
}

// Counts must also reach the daemons that their origin does not send to directly, and must not circulate forever.
TEST_CASE("Evidence_MergedEntries_AreForwardedOnce")
{
    auto first = makeEvidence("vm-1");
    auto second = makeEvidence("vm-2");
    auto third = makeEvidence("vm-3");
    auto const now = startOfMove() + 1s;
    recordCalls(first, { { "v2", 1, "arima", 3 } }, now);
    auto const delta = first.takeDelta(unlimited, now);
    second.merge(delta, now);
    third.merge(second.takeDelta(unlimited, now), now);
    CHECK(totalsOf(third) == totalsOf(first));
    first.merge(third.takeDelta(unlimited, now), now);
    CHECK(first.takeDelta(unlimited, now).entries.empty());
    second.merge(delta, now);
    CHECK(second.takeDelta(unlimited, now).entries.empty());
}

// A restarted daemon counts from zero. Its counts from before the restart remain valid.
TEST_CASE("Evidence_OriginRestarts_KeepsBothCounts")
{
    auto receiver = makeEvidence("vm-9");
    auto const now = startOfMove() + 1s;
    for (uint64_t incarnation : { 1, 2 }) {
        auto origin = makeEvidence("vm-1", incarnation);
        recordCalls(origin, { { "v2", 1, "arima", 4 } }, now);
        receiver.merge(origin.takeDelta(unlimited, now), now);
    }
    CHECK(totalsOf(receiver).begin()->second.successes == 8);
}

// If the budget is exhausted, failures must be sent before successes, and the new version before the old one.
TEST_CASE("Evidence_BoundedDelta_SendsFailuresFirstAndLosesNothing")
{
    auto evidence = makeEvidence("vm-1");
    auto const now = startOfMove() + 1s;
    recordCalls(evidence, { { "v1", 0, "arima", 9 }, { "v2", 1, "arima", 9 }, { "v2", 2, "arima", 0, 1 } }, now);
    auto const first = evidence.takeDelta(2, now);
    REQUIRE(first.entries.size() == 2);
    CHECK(first.entries[0].counters.failures == 1);
    CHECK(first.entries[1].counters.failures == 1);
    auto const second = evidence.takeDelta(2, now);
    REQUIRE(second.entries.size() == 2);
    CHECK(second.entries[0].key.version == "v2");
    CHECK(evidence.takeDelta(unlimited, now).entries.size() == 2);
}

// Services without a running move must not use memory, and a new move must not be judged by the evidence of an earlier
// one.
TEST_CASE("Evidence_WithoutARunningMove_IsNotKept")
{
    auto evidence = makeEvidence("vm-1");
    recordCalls(evidence, { { "v2", 1, "arima", 9, 9 } }, startOfMove() + 1s);
    auto next = makeMove();
    next.start += 50s;
    evidence.watch({ next });
    CHECK(evidence.sinceStart("orders", "v2", next.start).empty());
    auto done = makeMove();
    done.state = MoveState::Done;
    evidence.watch({ done });
    CHECK(evidence.entryCount() == 0);
}
