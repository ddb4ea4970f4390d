#include <LibTraffic/Traffic.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Traffic;
using namespace std::chrono_literals;

namespace {

struct ReportFixture {
    Core::Instant start { 1h };
    KnownReport known { { 1000, 7 }, start, std::nullopt };
};

}

// Guards against a write that the registry applies late and that brings back what the target said before.
TEST_CASE_METHOD(ReportFixture, "TargetReport_OfAnyRunAndNumber_CountsUnlessItIsOlder")
{
    struct Case {
        ReportPosition report;
        bool isUsed;
    };
    auto const example = GENERATE(values<Case>({
        { { 1000, 8 }, true },
        { { 1000, 7 }, true },
        { { 1000, 6 }, false },
        { { 1000, 0 }, false },
        { { 1001, 1 }, true },
        { { 999, 8 }, false },
        { { 999, std::nullopt }, false },
        { { 1000, std::nullopt }, true },
        { { 0, 6 }, true },
    }));
    CAPTURE(example.report.startedAt, example.report.sequence.value_or(-1));
    CHECK(decideOnReport(known, example.report, start + 1s).isUsed == example.isUsed);
    CHECK(decideOnReport(std::nullopt, example.report, start + 1s).isUsed);
}

// Guards against a target that is left out for good because its clock or its numbers were set back.
TEST_CASE_METHOD(ReportFixture, "TargetReport_OlderOneStaysInTheRegistry_CountsAfterTheLongestDelayOfAWrite")
{
    auto decision = decideOnReport(known, { 1000, 6 }, start + 1s);
    CHECK(decision.known.position == known.position);
    decision = decideOnReport(decision.known, { 1000, 5 }, start + 1s + maxWriteDelay);
    CHECK_FALSE(decision.isUsed);
    decision = decideOnReport(decision.known, { 1000, 5 }, start + 1001ms + maxWriteDelay);
    CHECK(decision == ReportDecision { true, { { 1000, 5 }, start + 1001ms + maxWriteDelay, std::nullopt } });
    // A newer one in between ends the time.
    decision = decideOnReport(known, { 1000, 6 }, start + 1s);
    decision = decideOnReport(decision.known, { 1000, 8 }, start + 2s);
    CHECK_FALSE(decideOnReport(decision.known, { 1000, 6 }, start + 1001ms + maxWriteDelay).isUsed);
}
