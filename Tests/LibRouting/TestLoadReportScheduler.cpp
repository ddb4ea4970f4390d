#include <LibRouting/Routing.h>
#include <catch2/catch.hpp>
#include <functional>

using namespace Comfreysail;
using namespace Comfreysail::Routing;

namespace {

Core::Instant const start { std::chrono::seconds(100) };
MeasurementLimits const limits {};

GroupKey keyOf(size_t group) { return { "service-" + std::to_string(group), "pos-hall", 0 }; }

size_t sizeOf(LoadReport const& report)
{
    auto bytes = reportMessageBytes;
    for (auto const& entry : report.entries)
        bytes += entry.size();
    return bytes;
}

struct BudgetCase {
    std::string description;
    size_t groups;
    std::function<GroupLoad(size_t group, size_t step)> load;
    size_t receivedEachTick;
    double messagesPerSecond;
};

}

// Load reports must stay within their budget whatever the targets do. The cases with the most reports are ten times the
// groups, slow targets, and loads that change at every tick.
TEST_CASE("LoadReports_AnyLoad_StayWithinBytesAndMessages")
{
    auto const flapping = [](size_t group, size_t step) {
        return GroupLoad { 10, (group + step) % 2 == 0 ? 20U : 2U, 0 };
    };
    auto const changing = [](size_t group, size_t step) {
        return GroupLoad { 10, static_cast<unsigned>((group + step) % 12), 0 };
    };
    auto const slow = [](size_t, size_t) { return GroupLoad { 10, 20, 256 }; };
    auto const example = GENERATE_COPY(values<BudgetCase>({ { "3 groups, changing", 3, changing, 0, 75 },
        { "30 groups, changing", 30, changing, 0, 75 }, { "30 groups, all slow", 30, slow, 0, 75 },
        { "30 groups, flapping", 30, flapping, 0, 75 }, { "300 groups, flapping", 300, flapping, 0, 75 },
        { "few messages allowed", 30, flapping, 0, 10 }, { "flood of received reports", 3, flapping, 2, 75 } }));
    CAPTURE(example.description);

    auto limits = MeasurementLimits {};
    limits.messagesPerSecond = example.messagesPerSecond;
    LoadReportScheduler scheduler(limits, start);
    for (size_t group = 0; group < example.groups; ++group)
        scheduler.setSiblings(keyOf(group), { "b", "c", "d" });
    size_t bytes = 0;
    size_t messages = 0;
    constexpr size_t ticks = 2000;
    for (size_t step = 0; step < ticks; ++step) {
        auto const now = start + step * std::chrono::milliseconds(5);
        for (size_t group = 0; group < example.groups; ++group)
            scheduler.noteLoad(keyOf(group), example.load(group, step));
        for (size_t received = 0; received < example.receivedEachTick; ++received)
            scheduler.noteReceived("b", { "a", { { keyOf(0), { 10, 20, 0 } } } }, now);
        for (auto const& report : scheduler.due(now)) {
            bytes += sizeOf(report);
            ++messages;
        }
    }
    constexpr double seconds = ticks * 0.005 + 0.2;
    CHECK(static_cast<double>(bytes) <= limits.bytesPerSecond * seconds);
    CHECK(static_cast<double>(messages) <= limits.messagesPerSecond * seconds);
    CHECK(bytes > 0);
    // Received reports use the same byte budget, so a flood of them leaves at most the initial burst.
    if (example.receivedEachTick > 0)
        CHECK(static_cast<double>(bytes) <= limits.bytesPerSecond * 0.2);
}

// If reports take more processor time than allowed, they must stop instead of slowing down requests.
TEST_CASE("LoadReports_ProcessorTimeUsedUp_NothingIsSentUntilRecovered")
{
    LoadReportScheduler scheduler(limits, start);
    scheduler.setSiblings(keyOf(0), { "b" });
    scheduler.noteLoad(keyOf(0), { 10, 20, 0 });
    scheduler.noteProcessorTime(limits.processorTimePerSecond * 2, start);
    CHECK(scheduler.due(start + std::chrono::milliseconds(1500)).empty());
    CHECK(scheduler.due(start + std::chrono::milliseconds(2500)).size() == 1);
}

// Without pressure there is nothing to spill, so reports would be wasted.
TEST_CASE("LoadReports_NoPressure_NothingIsSent")
{
    LoadReportScheduler scheduler(limits, start);
    scheduler.setSiblings(keyOf(0), { "b" });
    for (unsigned step = 0; step < 100; ++step) {
        scheduler.noteLoad(keyOf(0), { 10, step % 9, 0 });
        CHECK(scheduler.due(start + step * std::chrono::milliseconds(20)).empty());
    }
    // A report of a sibling under pressure makes this home report as well.
    auto const now = start + std::chrono::seconds(3);
    scheduler.noteReceived("b", { "a", { { { keyOf(0).service, "arima", 0 }, { 10, 12, 0 } } } }, now);
    CHECK(scheduler.due(now).size() == 1);
}

// When little budget is left, repetitions are dropped, and reports that a group is no longer under pressure are still
// sent immediately.
TEST_CASE("LoadReports_BudgetRunsShort_PressureChangesAreSentFirst")
{
    auto const milliseconds = GENERATE(0, 200);
    CAPTURE(milliseconds);
    LoadReportScheduler scheduler(limits, start);
    constexpr size_t groups = 40;
    for (size_t group = 0; group < groups; ++group) {
        scheduler.setSiblings(keyOf(group), { "b-" + std::to_string(group) });
        scheduler.noteLoad(keyOf(group), { 10, 12, 0 });
    }
    auto now = start;
    for (int tick = 0; tick < 400; ++tick, now += std::chrono::milliseconds(5))
        scheduler.due(now);
    // All groups repeat an unchanged load and use up the budget. Then the last ten groups are no longer under pressure.
    for (size_t group = groups - 10; group < groups; ++group)
        scheduler.noteLoad(keyOf(group), { 10, 1, 0 });
    auto const reports = scheduler.due(now + std::chrono::milliseconds(milliseconds));
    CHECK(reports.size() >= (milliseconds == 0 ? 3 : 6));
    for (auto const& report : reports)
        CHECK_FALSE(report.entries.front().load.isUnderPressure());
}
