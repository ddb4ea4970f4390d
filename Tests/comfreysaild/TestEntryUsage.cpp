#include "UsageFixture.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

constexpr char const* validSettings = R"(vm_name = "a"
availability_zone = "b"
placement = "ask_targets"
caller = { endpoint = "127.0.0.1:1001" }
admin = { endpoint = "127.0.0.1:1002" }
control = { endpoint = "127.0.0.1:1003" }
platform = { endpoint = "127.0.0.1:1004" }
)";

}

TEST_CASE_METHOD(UsageFixture, "EntryUsage_RequestsOnThreeDaemons_AreReportedOnceForEachWindow")
{
    std::atomic<unsigned> requests { 0 };
    // Every fifth request is refused without having been executed, and is then sent to the other target.
    auto const script = [&](RawConnection& connection, std::string const& head) {
        if (++requests % 5 == 0)
            return connection.send(wholeResponse("",
                "X-Comfreysail-Request-Id: " + requestIdOf(head) + "\r\nX-Comfreysail-Not-Executed: 1\r\n",
                "503 Service Unavailable"));
        return respondComplete(connection, head);
    };
    addTarget("t1", script);
    addTarget("t2", script);
    StopAtScopeEnd const stop(*this);
    startReporters();
    // Windows that end before the daemons have agreed on the time at their first start are not reported.
    REQUIRE(waitForReportsUpToNow());
    int64_t served = 0;
    for (unsigned round = 0; round < 40; ++round) {
        for (auto* const reporter : reporters)
            served += send(*reporter, round % 2 == 0 ? "kaje80" : "vopu11").status() == 200 ? 1 : 0;
        std::this_thread::sleep_for(100ms);
    }
    REQUIRE(served >= 100);
    // Requests without a department are not counted.
    CHECK(call("GET", "/public/1").status() == 200);
    REQUIRE(waitForReportsUpToNow());
    checkRules();
    CHECK(sumOf("kaje80") + sumOf("vopu11") == served);
    CHECK(sumOf("kaje80") >= served / 3);
    auto const all = reports();
    for (size_t index = 0; index < all.size(); ++index) {
        CHECK(all[index].window == all.front().window + static_cast<int64_t>(index));
        CHECK(all[index].counts.size() <= 2);
        auto const end = std::chrono::system_clock::time_point((all[index].window + 1) * windowTime);
        CHECK(all[index].at > end);
        CHECK(all[index].at < end + 10s);
    }
    // Calls to the store are priced: one for each window, and a few while the daemons start.
    CHECK(storeCalls() <= all.size() + 6);
}

TEST_CASE_METHOD(UsageFixture, "EntryUsage_HolderIsKilled_AnotherDaemonReportsWithAHigherToken")
{
    addTarget("t1", respondComplete);
    StopAtScopeEnd const stop(*this);
    startReporters();
    REQUIRE(waitForReportsUpToNow());
    auto const before = reports().back();
    holder().kill();
    REQUIRE(waitForReportsUpToNow());
    checkRules();
    CHECK(reports().back().token > before.token);
    CHECK(reports().back().holder != before.holder);
}

// A paused holder continues where it was, and must not send while another daemon has the duty.
TEST_CASE_METHOD(UsageFixture, "EntryUsage_HolderIsPaused_ItDoesNotSendWithItsOldToken")
{
    addTarget("t1", respondComplete);
    StopAtScopeEnd const stop(*this);
    startReporters();
    REQUIRE(waitForReportsUpToNow());
    auto const before = reports().back();
    auto& paused = holder();
    paused.stop();
    REQUIRE(waitForReportsUpToNow());
    CHECK(reports().back().holder != before.holder);
    paused.resume();
    REQUIRE(waitForReportsUpToNow());
    checkRules();
}

// Counts that are not sent before the process ends are lost.
TEST_CASE_METHOD(UsageFixture, "EntryUsage_DaemonIsStoppedAsPlanned_ItsLastRequestsAreReported")
{
    addTarget("t1", respondComplete);
    StopAtScopeEnd const stop(*this);
    startReporters();
    REQUIRE(waitForReportsUpToNow());
    auto& stopped = holder().controlPort() == reporters[0]->controlPort() ? *reporters[1] : *reporters[0];
    for (unsigned index = 0; index < 10; ++index)
        CHECK(send(stopped, "kaje80").status() == 200);
    stopped.terminate();
    CHECK(stopped.waitForExit() == 0);
    REQUIRE(waitForReportsUpToNow());
    checkRules();
    CHECK(sumOf("kaje80") == 10);
}

TEST_CASE_METHOD(UsageFixture, "EntryUsage_PlatformAnswersTooMany_TheSameReportIsSentAgain")
{
    addTarget("t1", respondComplete);
    StopAtScopeEnd const stop(*this);
    startReporter(1);
    REQUIRE(waitForReportsUpToNow());
    auto const count = reports().size();
    refusals = 3;
    CHECK(eventually([&] { return reports().size() >= count + 5; }, 20s));
    checkRules();
    auto const all = reports();
    for (size_t index = count; index < count + 3; ++index)
        CHECK(all[index].window == all[index + 1].window);
}

TEST_CASE_METHOD(EntryFixture, "EntryUsage_WithoutDuties_NothingIsStored")
{
    addTarget("t1", respondComplete);
    StopAtScopeEnd const stop(*this);
    startDaemon();
    CHECK(call("GET", "/read/1").status() == 200);
    std::this_thread::sleep_for(5s);
    CHECK(storeKeys("comfreysail-duties").empty());
    CHECK(daemon().admin("/metrics").body.find("usage") == std::string::npos);
}

// A wrong setting would otherwise show only as missing reports.
// The platform's settings file is the same for all deployments; what only some have comes in the environment. Guards
// against variables that are not read, and against empty ones that make a daemon refuse to start.
TEST_CASE("EntryUsage_DutiesInTheEnvironment_AreCheckedLikeThoseOfTheFile")
{
    auto const folder = makeTemporaryFolder();
    auto const file = folder / "daemon.toml";
    std::ofstream(file) << validSettings;
    auto const check = [&file](char const* descriptors, char const* endpoint, char const* lease) {
        ::setenv("COMFREYSAIL_MAX_FDS", descriptors, 1);
        ::setenv("COMFREYSAIL_DUTY_ENDPOINT", endpoint, 1);
        ::setenv("COMFREYSAIL_DUTY_KINDS", "usage,other", 1);
        ::setenv("COMFREYSAIL_LEASE_SECONDS", lease, 1);
        return runDaemonProgram({ "--check", file.string() });
    };
    CHECK(check("4100", "127.0.0.1:1005", "3").exitCode == 0);
    CHECK(check("", "", "").exitCode == 0);
    auto const faulty = check("3", "127.0.0.1", "0");
    for (auto const* const name : { "MAX_FDS", "DUTY_ENDPOINT", "DUTY_KINDS", "LEASE_SECONDS" })
        ::unsetenv((std::string("COMFREYSAIL_") + name).c_str());
    std::filesystem::remove_all(folder);
    CHECK(faulty.exitCode == 2);
    for (auto const* const key : { "environment:1: max_fds", "duties.endpoint", "duties.lease_seconds" })
        CHECK_THAT(faulty.output, Catch::Matchers::Contains(key));
}

TEST_CASE("EntryUsage_InvalidDuties_AreRefusedWithTheirKeys")
{
    auto const folder = makeTemporaryFolder();
    auto const file = folder / "daemon.toml";
    std::ofstream(file) << validSettings << R"([duties]
endpoint = "127.0.0.1"
lease_seconds = "0"
report_window_seconds = 5
other = 1
)";
    auto const finished = runDaemonProgram({ "--check", file.string() });
    std::filesystem::remove_all(folder);
    CHECK(finished.exitCode != 0);
    for (auto const* const key :
        { "duties.endpoint", "duties.kinds", "duties.lease_seconds", "duties.report_window_seconds", "duties.other" })
        CHECK_THAT(finished.output, Catch::Matchers::Contains(key));
}
