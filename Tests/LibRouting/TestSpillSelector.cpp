#include <LibRouting/Routing.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Routing;

namespace {

GroupKey const near { "orders", "arima", 0 };
GroupKey const other { "orders", "tunapuna", 0 };
Core::Instant const start { std::chrono::seconds(100) };

struct SpillCase {
    std::string description;
    GroupLoad local;
    GroupLoad sibling;
    std::chrono::milliseconds age;
    bool spills;
};

}

// A zone keeps its requests while it has capacity, and spills nothing to a sibling that is as loaded or has not
// reported recently.
TEST_CASE("Spill_LoadsOfBothZones_DecideWhetherRequestLeaves")
{
    using std::chrono::milliseconds;
    auto const example = GENERATE(values<SpillCase>({
        { "own zone has a free slot", { 10, 9, 0 }, { 10, 0, 0 }, milliseconds(1), false },
        { "own zone is full, sibling idle", { 10, 10, 0 }, { 10, 0, 0 }, milliseconds(1), true },
        { "both are equally loaded", { 10, 20, 10 }, { 10, 20, 10 }, milliseconds(1), false },
        { "sibling is full", { 10, 20, 200 }, { 10, 20, 25 }, milliseconds(1), false },
        { "own zone has no targets", { 0, 0, 3 }, { 10, 20, 25 }, milliseconds(1), true },
        { "sibling has no targets", { 10, 20, 50 }, { 0, 0, 0 }, milliseconds(1), false },
        { "sibling has just returned and is cold", { 10, 11, 0 }, { 5, 5, 0 }, milliseconds(1), false },
        { "report is too old", { 10, 20, 50 }, { 10, 0, 0 }, milliseconds(501), false },
    }));
    CAPTURE(example.description);
    SpillSelector selector(1);
    selector.noteReport(near, example.sibling, start);
    CHECK(selector.choose(example.local, start + example.age).has_value() == example.spills);
}

// Spills since the last report must count as load of the sibling; otherwise one report of free slots would attract any
// number of requests.
TEST_CASE("Spill_ManyRequestsAfterOneReport_StopAtEqualLoad")
{
    SpillSelector selector(1);
    selector.noteReport(near, { 10, 0, 0 }, start);
    size_t spilled = 0;
    while (selector.choose({ 10, 20, 0 }, start + std::chrono::milliseconds(1)) && spilled < 100)
        ++spilled;
    CHECK(spilled >= 10);
    CHECK(spilled <= 20);
    selector.noteSpillFinished(near, start + std::chrono::milliseconds(1));
    CHECK(selector.choose({ 10, 20, 0 }, start + std::chrono::milliseconds(1)));
}

// A zone that was taken out of service must get no requests, even if it was idle in its last report.
TEST_CASE("Spill_SiblingRemoved_OtherSiblingIsUsed")
{
    SpillSelector selector(1);
    selector.noteReport(near, { 10, 0, 0 }, start);
    selector.noteReport(other, { 10, 5, 0 }, start);
    selector.removeSibling(near);
    CHECK(selector.choose({ 10, 20, 0 }, start) == other);
    selector.removeSibling(other);
    CHECK_FALSE(selector.choose({ 10, 20, 0 }, start));
}
