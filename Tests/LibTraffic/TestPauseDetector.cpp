#include <LibTraffic/Traffic.h>
#include <catch2/catch.hpp>

using namespace Comfreysail::Traffic;
using namespace std::chrono_literals;

TEST_CASE("PauseDetector_RegularTicks_ReportNoPause")
{
    PauseDetector detector;
    for (auto time = 0ms; time < 10s; time += 500ms)
        CHECK(detector.noteTick(time) == 0);
    CHECK_FALSE(detector.needsRefresh(10s));
}

// Guards against acting on rows that expired during a pause: a target that has left, or a zone that was evacuated.
TEST_CASE("PauseDetector_GapBetweenTicks_NeedsRowsThatWereReadAfterIt")
{
    PauseDetector detector;
    detector.noteTick(1s);
    CHECK(detector.noteTick(5s) == 1);
    CHECK(detector.needsRefresh(5s));
    detector.noteRefreshed(4900ms);
    CHECK(detector.needsRefresh(5100ms));
    detector.noteRefreshed(5100ms);
    CHECK_FALSE(detector.needsRefresh(5200ms));
    CHECK(detector.noteTick(5500ms) == 1);
}

// While the store and all other daemons are unreachable, requests are served with the last known rows.
TEST_CASE("PauseDetector_NoRowsAfterAPause_StopsWaitingAfterALimit")
{
    PauseDetector detector;
    detector.noteTick(1s);
    detector.noteTick(5s);
    CHECK(detector.needsRefresh(5900ms));
    CHECK_FALSE(detector.needsRefresh(6s));
}
