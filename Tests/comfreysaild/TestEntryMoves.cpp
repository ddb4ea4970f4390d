#include "EntryFixture.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

bool respondComplete(RawConnection& connection, std::string const& head)
{
    return connection.send(signedResponse(head, "whole"));
}

class MoveFixture : public EntryFixture {
public:
    void orderMove(unsigned seconds)
    {
        writeOperatorRow(
            "rollout/orders", R"({"service":"orders","to":"v2","duration-s":)" + std::to_string(seconds) + "}");
    }

    bool isCompleted() { return storeRow("status", "rollout/orders").find("completed") != std::string::npos; }

    void restartDaemon()
    {
        killDaemons();
        startDaemon();
    }
};

}

// Guards against a good version that is not completed by its time limit: the daemons that were restarted took the order
// for one of this moment and began the trial again.
TEST_CASE_METHOD(MoveFixture, "Entry_RestartOfAllDaemonsDuringAMove_TheMoveIsCompletedInTime")
{
    addTarget("old", respondComplete);
    addTarget("new", respondComplete, "v2");
    StopAtScopeEnd const stop(*this);
    startDaemon();
    orderMove(12);
    auto const orderedAt = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(5s);
    CHECK_FALSE(isCompleted());
    restartDaemon();
    auto const left = orderedAt + 12s - std::chrono::steady_clock::now();
    CHECK(eventually([&] { return isCompleted(); }, std::chrono::duration_cast<std::chrono::milliseconds>(left)));
}

// Each daemon may send the first requests of a trial to the new version at a higher rate. Daemons that restart again
// and again must not do so each time: a bad version may get a tenth of the requests and 50 more.
TEST_CASE_METHOD(MoveFixture, "Entry_DaemonRestartsDuringAMove_NewVersionGetsOnlyItsShare")
{
    auto& oldVersion = addTarget("old", respondComplete);
    auto& newVersion = addTarget("new", respondComplete, "v2");
    StopAtScopeEnd const stop(*this);
    startDaemon();
    orderMove(120);
    for (int restart = 0; restart < 5; ++restart) {
        std::this_thread::sleep_for(2500ms);
        for (int count = 0; count < 110; ++count)
            call("GET", "/read/1");
        restartDaemon();
    }
    auto const requests = oldVersion.runs + newVersion.runs;
    CHECK(requests >= 500);
    CHECK(newVersion.runs <= requests / 10 + 50);
}

// Guards against a bad version that is completed: only responses that say themselves that they are failures counted
// against it, and not those that are cut off, unsigned or no response at all.
TEST_CASE_METHOD(MoveFixture, "Entry_NewVersionSendsBadResponses_IsRolledBack")
{
    auto const bad = GENERATE(as<std::string> {}, "cut off", "unsigned", "503 that has run", "no response", "error");
    CAPTURE(bad);
    addTarget("old", respondComplete);
    addTarget(
        "new",
        [&](RawConnection& connection, std::string const& head) {
            if (bad == "error")
                return connection.send(signedResponse(head, "no", "500 Internal Server Error"));
            if (bad == "unsigned")
                return connection.send(
                    wholeResponse("whole", "X-Comfreysail-Request-Id: " + requestIdOf(head) + "\r\n"));
            if (bad == "503 that has run")
                return connection.send(signedResponse(head, "no", "503 Service Unavailable"));
            auto const whole = signedResponse(head, "whole");
            connection.send(bad == "cut off" ? whole.substr(0, whole.size() - 3) : "no response at all\r\n\r\n");
            return false;
        },
        "v2");
    StopAtScopeEnd const stop(*this);
    startDaemon();
    orderMove(12);
    auto const hasResult = [&] { return !storeRow("status", "rollout/orders").empty(); };
    CHECK(eventually(
        [&] {
            call("POST", "/pay/1", "order");
            return hasResult();
        },
        12s));
    CHECK_FALSE(isCompleted());
}

// The counterpart: the trial of a bad version goes on with the evidence from before the restart.
TEST_CASE_METHOD(MoveFixture, "Entry_BadVersionAndARestartOfAllDaemons_IsRolledBackAndGetsNothing")
{
    addTarget("old", respondComplete);
    auto& newVersion = addTarget(
        "new",
        [](RawConnection& connection, std::string const& head) {
            return connection.send(signedResponse(head, "no", "500 Internal Server Error"));
        },
        "v2");
    StopAtScopeEnd const stop(*this);
    startDaemon();
    orderMove(10);
    auto const isRolledBack
        = [&] { return storeRow("status", "rollout/orders").find("rolled_back") != std::string::npos; };
    CHECK(eventually(
        [&] {
            call("POST", "/pay/1", "order");
            return isRolledBack();
        },
        8s));
    restartDaemon();
    auto const before = newVersion.runs.load();
    for (int count = 0; count < 50; ++count)
        call("POST", "/pay/1", "order");
    CHECK(newVersion.runs == before);
    CHECK(isRolledBack());
}

// Guards against a rolled-back version that gets requests again after the next order: it was taken for the old version
// since it had more ready targets. Its targets leave some seconds after the roll-back only.
TEST_CASE_METHOD(MoveFixture, "Entry_OrderAfterARollBack_RolledBackVersionGetsNothing")
{
    auto& oldVersion = addTarget("old", respondComplete);
    auto const fail = [](RawConnection& connection, std::string const& head) {
        return connection.send(signedResponse(head, "no", "500 Internal Server Error"));
    };
    auto& bad = addTarget("bad1", fail, "v2");
    auto& alsoBad = addTarget("bad2", fail, "v2");
    addTarget("newer", respondComplete, "v3");
    StopAtScopeEnd const stop(*this);
    startDaemon();
    orderMove(10);
    REQUIRE(eventually(
        [&] {
            call("POST", "/pay/1", "order");
            return storeRow("status", "rollout/orders").find("rolled_back") != std::string::npos;
        },
        8s));
    auto const badRuns = [&] { return bad.runs + alsoBad.runs; };
    auto const before = badRuns();
    auto const sendRequests = [&] {
        for (int count = 0; count < 50; ++count)
            call("POST", "/pay/1", "order");
    };
    writeOperatorRow("rollout/orders", R"({"service":"orders","to":"v3","duration-s":60})");
    std::this_thread::sleep_for(2s);
    auto const oldRuns = oldVersion.runs.load();
    sendRequests();
    CHECK(oldVersion.runs > oldRuns);
    restartDaemon();
    sendRequests();
    SECTION("the order is withdrawn") { removeOperatorRow("rollout/orders"); }
    SECTION("the operators go back to the old version")
    {
        writeOperatorRow("rollout/orders", R"({"service":"orders","to":"v1","duration-s":60})");
    }
    std::this_thread::sleep_for(2s);
    sendRequests();
    CHECK(badRuns() == before);
}

// Guards against requests to a version whose move was replaced by the next order while no daemon was running: only the
// start of the earlier move, in the store, tells of it.
TEST_CASE_METHOD(MoveFixture, "Entry_DaemonStartsAfterAnOrderReplacedAnother_ReplacedVersionGetsNothing")
{
    auto& oldVersion = addTarget("old", respondComplete);
    auto& replaced = addTarget("replaced1", respondComplete, "v2");
    auto& alsoReplaced = addTarget("replaced2", respondComplete, "v2");
    addTarget("newer", respondComplete, "v3");
    StopAtScopeEnd const stop(*this);
    startDaemon();
    orderMove(60);
    REQUIRE(eventually([&] { return !storeRow("comfreysail-moves", "orders").empty(); }, 5s));
    killDaemons();
    writeOperatorRow("rollout/orders", R"({"service":"orders","to":"v3","duration-s":60})");
    startDaemon();
    auto const replacedRuns = [&] { return replaced.runs + alsoReplaced.runs; };
    auto const before = replacedRuns();
    for (int count = 0; count < 50; ++count)
        call("POST", "/pay/1", "order");
    CHECK(replacedRuns() == before);
    CHECK(oldVersion.runs > 0);
}
