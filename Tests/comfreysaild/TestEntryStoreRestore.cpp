#include "EntryFixture.h"

#include <catch2/catch.hpp>
#include <map>
#include <thread>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

bool respondComplete(RawConnection& connection, std::string const& head)
{
    return connection.send(signedResponse(head, "whole"));
}

std::string addedRoute()
{
    return R"(,{"name":"new","host":"orders.test","prefix":"/new/","kind":"safe","timeout-s":1,"service":"orders"})";
}

/// A store that has written many rows since its copy was made, so that it gives out these revisions again.
class RestoreFixture : public EntryFixture {
public:
    RestoreFixture() { addTarget("t1", respondComplete); }

    void writeRowsThatAreLost()
    {
        for (int count = 0; count < 200; ++count)
            writeRegistryRow("lost", R"({"sequence":)" + std::to_string(count) + "}");
        // The daemon reads them.
        std::this_thread::sleep_for(1500ms);
    }

    bool hasResult(std::string const& state)
    {
        return storeRow("status", "rollout/orders").find(state) != std::string::npos;
    }

protected:
    std::map<std::string, EntryTarget*> m_crashing;
};

}

// Guards against a route that is not in force for seconds, or for good, since its row has a revision that the daemon
// saw before the store came back from an older copy.
TEST_CASE_METHOD(RestoreFixture, "Entry_StoreComesBackFromAnOlderCopy_RouteAddedThenIsServedInTime")
{
    StopAtScopeEnd const stop(*this);
    startDaemon();
    copyStore();
    writeRowsThatAreLost();
    CHECK(call("GET", "/read/1").status() == 200);
    restoreStore(1s);
    writePlan(5, addedRoute());
    CHECK(eventually([&] { return call("GET", "/new/1").status() == 200; }, 2s));
    CHECK(call("GET", "/read/1").status() == 200);
}

// Guards against operators who never hear that a move is completed, since its result was lost with the store's last
// seconds and nobody writes it again.
TEST_CASE_METHOD(RestoreFixture, "Entry_StoreLosesTheResultOfAMove_ItIsWrittenAgain")
{
    addTarget("t2", respondComplete, "v2");
    StopAtScopeEnd const stop(*this);
    startDaemon();
    writeOperatorRow("rollout/orders", R"({"service":"orders","to":"v2","duration-s":4})");
    copyStore();
    REQUIRE(eventually([&] { return hasResult("completed"); }, 8s));
    std::this_thread::sleep_for(1500ms);
    restoreStore(1s);
    CHECK_FALSE(hasResult("completed"));
    CHECK(eventually([&] { return hasResult("completed"); }, 6s));
}

// Guards against an older copy that undoes what is in force before the operators have written it again.
TEST_CASE_METHOD(RestoreFixture, "Entry_StoreComesBackFromAnOlderCopy_SettingsInForceStay")
{
    StopAtScopeEnd const stop(*this);
    startDaemon();
    copyStore();
    writePlan(5, addedRoute());
    REQUIRE(eventually([&] { return call("GET", "/new/1").status() == 200; }, 3s));
    restoreStore(1s);
    for (int count = 0; count < 20; ++count) {
        CHECK(call("GET", "/new/1").status() == 200);
        std::this_thread::sleep_for(100ms);
    }
}

// Guards against requests to what was taken out of service in the seconds that the store has lost.
TEST_CASE_METHOD(RestoreFixture, "Entry_StoreLosesThatATargetDrainsOrAZoneIsOut_ItGetsNoRequestsMeanwhile")
{
    auto& second = addTarget("t2", respondComplete);
    StopAtScopeEnd const stop(*this);
    startDaemon();
    copyStore();
    bool const isDrained = GENERATE(true, false);
    CAPTURE(isDrained);
    auto const takeOut = [&] {
        if (isDrained)
            registerTarget(second, "draining");
        else
            writeOperatorRow("evacuate/pos-hall", "{}");
    };
    takeOut();
    std::this_thread::sleep_for(2s);
    auto const before = second.runs.load();
    restoreStore(1s);
    auto const end = std::chrono::steady_clock::now() + 3s;
    std::this_thread::sleep_for(1500ms);
    takeOut();
    while (std::chrono::steady_clock::now() < end)
        call("GET", "/read/1");
    CHECK(second.runs == before);
}

// Guards against a target that had left in the seconds that the store has lost, and stands in the copy: it would be
// used again after the settling time.
TEST_CASE_METHOD(RestoreFixture, "Entry_StoreLosesThatATargetLeft_ItGetsNoRequestsAfterTheSettlingTimeEither")
{
    auto& second = addTarget("t2", respondComplete);
    StopAtScopeEnd const stop(*this);
    registerTarget(second, "ready", "v1", 5);
    startDaemon();
    copyStore();
    registerTarget(second, "ready", "v1", 6);
    std::this_thread::sleep_for(1s);
    bool const drains = GENERATE(true, false);
    CAPTURE(drains);
    if (drains)
        registerTarget(second, "draining", "v1", 7);
    else
        removeTarget("t2");
    std::this_thread::sleep_for(2s);
    auto const before = second.runs.load();
    restoreStore(1s);
    auto const end = std::chrono::steady_clock::now() + 4s;
    while (std::chrono::steady_clock::now() < end)
        call("GET", "/read/1");
    CHECK(second.runs == before);
}

// Guards against a zone that stays out of service although the operators have taken it back after the store's return.
TEST_CASE_METHOD(RestoreFixture, "Entry_ZoneTakenBackAfterTheReturn_IsUsedAgainInTime")
{
    StopAtScopeEnd const stop(*this);
    startDaemon();
    writeOperatorRow("evacuate/pos-hall", "{}");
    copyStore();
    writeRowsThatAreLost();
    CHECK(call("GET", "/read/1").status() == 503);
    restoreStore(1s);
    std::this_thread::sleep_for(1500ms);
    removeOperatorRow("evacuate/pos-hall");
    CHECK(eventually([&] { return call("GET", "/read/1").status() == 200; }, 2s));
}

// Guards against a request that crashes targets and is let in again because the store has lost the reports.
TEST_CASE_METHOD(RestoreFixture, "Entry_StoreLosesCrashReports_TheyAreWrittenAgainAndTheRequestStaysRefused")
{
    auto const crash = [this](std::string const& id) {
        return [this, id](RawConnection& connection, std::string const& head) {
            if (!head.starts_with("GET /read/poison "))
                return respondComplete(connection, head);
            m_crashing.at(id)->crash();
            connection.reset();
            return false;
        };
    };
    for (auto const* const id : { "c1", "c2", "c3", "c4", "c5" })
        m_crashing[id] = &addTarget(id, crash(id));
    removeTarget("t1");
    StopAtScopeEnd const stop(*this);
    startDaemon();
    copyStore();
    auto const isRefused
        = [&] { return call("GET", "/read/poison").field("Comfreysail-Error") == "request_quarantined"; };
    REQUIRE(eventually(isRefused, 5s));
    auto const reports = [&] { return storeKeys("comfreysail-crashes").size(); };
    REQUIRE(eventually([&] { return reports() >= 3; }));
    restoreStore(1s);
    CHECK(reports() == 0);
    CHECK(eventually([&] { return reports() >= 3; }, 8s));
    CHECK(isRefused());
}

// Guards against a daemon that takes rows of the earlier era from another one, or does not take those of the new era.
TEST_CASE_METHOD(RestoreFixture, "Entry_DaemonWithoutTheStore_GetsTheNewEraFromAnother")
{
    StopAtScopeEnd const stop(*this);
    auto& reader = startDaemon();
    DaemonOptions options;
    options.vmName = "entry-2";
    options.platformPort = 9; // Nothing listens there.
    options.seedPorts = { reader.controlPort() };
    auto const& follower = startDaemon(options);
    copyStore();
    writeRowsThatAreLost();
    restoreStore(1s);
    writePlan(5, addedRoute());
    auto const isServed = [&] {
        auto connection = follower.connect();
        connection.send(requestText("GET", "/new/1", "f1"));
        return connection.readResponse().status() == 200;
    };
    CHECK(eventually(isServed, 3s));
}
