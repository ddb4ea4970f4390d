#include <LibTraffic/Traffic.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Traffic;
using namespace std::chrono_literals;

namespace {

struct ReportFixture {
    Core::Instant start { 1h };
    KnownReport known { { 1000, 7 }, std::nullopt, std::nullopt };
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
TEST_CASE_METHOD(ReportFixture, "TargetReport_OlderOneStaysInTheRegistry_CountsAfterTheTimeout")
{
    auto decision = decideOnReport(known, { 1000, 6 }, start);
    CHECK(decision == ReportDecision { false, { known.position, start, std::nullopt } });
    decision = decideOnReport(decision.known, { 1000, 5 }, start + reportTimeout);
    CHECK_FALSE(decision.isUsed);
    decision = decideOnReport(decision.known, { 1000, 5 }, start + reportTimeout + 1ms);
    CHECK(decision == ReportDecision { true, { { 1000, 5 }, std::nullopt, std::nullopt } });
    // A newer one in between ends the time.
    decision = decideOnReport(known, { 1000, 6 }, start);
    decision = decideOnReport(decision.known, { 1000, 8 }, start + 1s);
    CHECK_FALSE(decideOnReport(decision.known, { 1000, 6 }, start + reportTimeout + 1ms).isUsed);
}

// Guards against a late write that brings back a target whose entry is gone, and against memory that grows with each
// target that ever was.
TEST_CASE_METHOD(ReportFixture, "ReportMemory_TargetIsRemoved_IsRememberedForAsLongAsAWriteMayBeLate")
{
    ReportMemory memory;
    CHECK(memory.note("a", { 1000, 7 }, start).isUsed);
    CHECK(memory.note("b", { 1000, 7 }, start).isUsed);
    memory.noteRemoved("a", start);
    CHECK_FALSE(memory.note("a", { 1000, 6 }, start + maxWriteDelay).isUsed);
    memory.noteAllPresent({ "c" }, start + 1s);
    memory.forgetRemoved(start + reportTimeout);
    CHECK(memory.find("a"));
    memory.forgetRemoved(start + reportTimeout + 1ms);
    CHECK_FALSE(memory.find("a"));
    CHECK(memory.find("b"));
    // It is back, so it is no longer forgotten.
    CHECK(memory.note("b", { 1000, 8 }, start + 2s).isUsed);
    memory.forgetRemoved(start + 1h);
    CHECK(memory.find("b"));
}
