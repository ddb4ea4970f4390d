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

/// Sends requests to a paused daemon, resumes it, and returns the status codes of its responses.
std::vector<unsigned> statusesAfterPause(DaemonProcess& daemon, std::string const& path)
{
    std::vector<RawConnection> connections;
    for (unsigned index = 0; index < 8; ++index) {
        connections.push_back(daemon.connect());
        connections.back().send(EntryFixture::requestText("GET", path, "waiting" + std::to_string(index)));
    }
    daemon.resume();
    std::vector<unsigned> statuses;
    for (auto& connection : connections)
        statuses.push_back(connection.readResponse().status());
    return statuses;
}

}

// A route is a permission of the operators. A daemon that was paused while it was withdrawn must look for newer
// settings before it uses the route again.
TEST_CASE_METHOD(EntryFixture, "Entry_PausedWhileARouteIsWithdrawn_RefusesItAfterwards")
{
    auto const& target = addTarget("t1", respondComplete);
    writePlan(2, "," + routeText("withdrawn", "/withdrawn/", "safe"));
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon();
    CHECK(eventually([&] { return call("GET", "/withdrawn/1").status() == 200; }));
    auto const runs = target.runs.load();
    daemon.stop();
    writePlan(3);
    std::this_thread::sleep_for(3s);
    for (auto const status : statusesAfterPause(daemon, "/withdrawn/1"))
        CHECK(status == 404);
    CHECK(target.runs == runs);
    CHECK(call("GET", "/read/1").status() == 200);
}

// The same for a route that was added meanwhile: a daemon must not deny what it only does not know yet.
TEST_CASE_METHOD(EntryFixture, "Entry_PausedWhileARouteIsAdded_ServesItAfterwards")
{
    addTarget("t1", respondComplete);
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon();
    CHECK(call("GET", "/added/1").status() == 404);
    daemon.stop();
    writePlan(2, "," + routeText("added", "/added/", "safe"));
    std::this_thread::sleep_for(3s);
    for (auto const status : statusesAfterPause(daemon, "/added/1"))
        CHECK(status == 200);
}

TEST_CASE_METHOD(EntryFixture, "Entry_PausedWhileItsZoneIsEvacuated_SendsItNothingAfterwards")
{
    auto const& target = addTarget("t1", respondComplete);
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon();
    CHECK(call("GET", "/read/1").status() == 200);
    daemon.stop();
    writeOperatorRow("evacuate/pos-hall", "{}");
    std::this_thread::sleep_for(3s);
    for (auto const status : statusesAfterPause(daemon, "/read/1"))
        CHECK(status == 503);
    CHECK(target.runs == 1);
}
