#include "EntryFixture.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <thread>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

// Small enough for a test to reach its limits: 27 connections of clients and 28 to targets.
constexpr auto fewDescriptors = "max_fds = \"128\"";

bool respondWhole(RawConnection& connection, std::string const& head)
{
    return connection.send(signedResponse(head, "whole"));
}

size_t count(std::string const& text, std::string const& part)
{
    size_t found = 0;
    for (auto place = text.find(part); place != std::string::npos; place = text.find(part, place + part.size()))
        ++found;
    return found;
}

}

// Guards against a limit that refuses a single request within the operators' limits: 16,384 bytes of head may be more
// than three thousand fields.
TEST_CASE_METHOD(EntryFixture, "Entry_HeadOfLegalSizeWithManyFields_IsServed")
{
    addTarget("t1", respondWhole);
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon();
    std::string head = "GET /read/1 HTTP/1.1\r\nHost: orders.test\r\nX-Comfreysail-Request-Id: a1\r\n";
    while (head.size() + 6 <= 16'384)
        head += "a:\r\n";
    auto connection = daemon.connect();
    connection.send(head + "\r\n");
    CHECK(connection.readResponse().body == "whole");
}

// Guards against idle connections that keep new clients out, against a busy one that is closed for them, and against
// limits that take effect unseen.
TEST_CASE_METHOD(EntryFixture, "Entry_IdleConnectionsAtTheLimit_AreGivenUpLoggedAndCounted")
{
    std::atomic<bool> isReleased { false };
    addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        while (head.starts_with("GET /read/held") && !isReleased)
            std::this_thread::sleep_for(10ms);
        return respondWhole(connection, head);
    });
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon({ .settings = fewDescriptors });
    auto held = daemon.connect();
    held.send(requestText("GET", "/read/held", "held1", {}, 5000));
    std::deque<RawConnection> idle;
    for (int client = 0; client < 60; ++client) {
        idle.push_back(daemon.connect());
        idle.back().send(requestText("GET", "/read/1", "a" + std::to_string(client)));
        CHECK(idle.back().readResponse().body == "whole");
    }
    CHECK(idle.front().waitForEnd(1s));
    isReleased = true;
    CHECK(held.readResponse().body == "whole");
    CHECK(daemon.log().find("event=client_limit limit=given_up address=127.0.0.1 count=") != std::string::npos);
    CHECK(count(daemon.log(), "event=client_limit limit=given_up") < 20);
    CHECK(
        daemon.admin("/metrics").body.find("comfreysail_client_limits_total{limit=\"given_up\"}") != std::string::npos);
}

// Guards against a crowd of clients that keeps the platform's balancer from the admin port.
TEST_CASE_METHOD(EntryFixture, "Entry_ClientsAtTheirLimit_LeaveTheAdminPortAlone")
{
    addTarget("t1", respondWhole);
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon({ .settings = fewDescriptors });
    std::deque<RawConnection> clients;
    for (int client = 0; client < 100; ++client) {
        clients.push_back(daemon.connect());
        clients.back().send("GET /read/1 HTTP/1.1\r\nHost: orders.test\r\nX-A: ");
    }
    CHECK(daemon.admin("/ready").status() == 200);
    // Without a limit each of the 100 clients holds one.
    CHECK(daemon.openDescriptors() < 100);
    // The incomplete heads have to make room.
    CHECK(eventually([this] { return call("GET", "/read/1").body == "whole"; }));
}

// Guards against a request that is refused for the connections of others to targets, without a trace of it.
TEST_CASE_METHOD(EntryFixture, "Entry_TooManyRequestsAtTargets_TheRefusalIsNotRunLoggedAndCounted")
{
    std::atomic<bool> isReleased { false };
    auto& target = addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        while (!isReleased)
            std::this_thread::sleep_for(10ms);
        return respondWhole(connection, head);
    });
    // With fewer slots than clients, some requests would be refused because the target is full.
    target.load = "0,0,30,100";
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon({ .settings = fewDescriptors });
    std::deque<RawConnection> clients;
    // More than half of the 28 connections to targets, fewer than the 27 of clients.
    for (int client = 0; client < 20; ++client) {
        clients.push_back(daemon.connect());
        clients.back().send(requestText("GET", "/read/held", "a" + std::to_string(client)));
    }
    CHECK(eventually([&] {
        return daemon.log().find("event=client_limit limit=requests_at_targets address=127.0.0.1") != std::string::npos;
    }));
    auto const runs = target.runs.load();
    isReleased = true;
    CHECK(runs < clients.size());
    CHECK(daemon.admin("/metrics").body.find("comfreysail_client_limits_total{limit=\"requests_at_targets\"}")
        != std::string::npos);
    size_t refused = 0;
    for (auto& client : clients) {
        auto const response = client.readResponse();
        refused += response.status() == 503 ? 1 : 0;
        CHECK((response.status() == 200 || response.field("Comfreysail-Outcome") == "not-run"));
    }
    CHECK(refused >= 1);
    CHECK(eventually([this] { return call("GET", "/read/1").body == "whole"; }));
}

// Guards against a listener that is lost, or that tries again without a pause and uses the whole processor, when a
// connection cannot be accepted because the process has no descriptor left.
TEST_CASE_METHOD(EntryFixture, "Entry_NoDescriptorLeft_AcceptsAgainWhenThereIsOne")
{
    constexpr auto acceptRetryDelay = 50ms;
    addTarget("t1", respondWhole);
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon();
    CHECK(call("GET", "/read/1").body == "whole");
    auto const start = std::chrono::steady_clock::now();
    daemon.setDescriptorLimit(3);
    std::deque<RawConnection> clients;
    for (int client = 0; client < 10; ++client) {
        clients.push_back(daemon.connect());
        clients.back().send(requestText("GET", "/read/1", "a" + std::to_string(client), {}, 5000));
    }
    std::this_thread::sleep_for(1s);
    CHECK(daemon.isAlive());
    daemon.setDescriptorLimit(1024);
    auto const elapsed = std::chrono::steady_clock::now() - start;
    CHECK(eventually([this] { return call("GET", "/read/1").body == "whole"; }));
    CHECK(daemon.admin("/ready").status() == 200);
    std::string const counter = "comfreysail_client_limits_total{limit=\"descriptors\"} ";
    auto const metrics = daemon.admin("/metrics").body;
    auto const place = metrics.find(counter);
    REQUIRE(place != std::string::npos);
    auto const failures = std::stol(metrics.substr(place + counter.size()));
    CHECK(failures >= 1);
    // One more for the pause that has just begun.
    CHECK(failures <= elapsed / acceptRetryDelay + 1);
}

// Guards against a daemon without descriptors that takes its targets for unreachable and refuses requests after it has
// descriptors again.
TEST_CASE_METHOD(EntryFixture, "Entry_NoDescriptorForAConnection_TargetStaysInUse")
{
    addTarget("t1", respondWhole);
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon();
    auto client = daemon.connect();
    client.send(requestText("GET", "/no-route", "a1"));
    CHECK(client.readResponse().status() == 404);
    daemon.setDescriptorLimit(3);
    client.send(requestText("GET", "/read/1", "a2"));
    CHECK(client.readResponse().status() == 503);
    daemon.setDescriptorLimit(1024);
    client.send(requestText("GET", "/read/1", "a3"));
    CHECK(client.readResponse().body == "whole");
}

// Guards against a crowd of clients that takes the connections which the daemon needs for its own calls: it would go on
// with old settings and targets.
TEST_CASE_METHOD(EntryFixture, "Entry_ClientsAtTheirLimit_CallsToTheStoreGoOn")
{
    addTarget("t1", respondWhole);
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon({ .settings = fewDescriptors });
    std::deque<RawConnection> clients;
    for (int client = 0; client < 100; ++client) {
        clients.push_back(daemon.connect());
        clients.back().send("GET /read/1 HTTP/1.1\r\nHost: orders.test\r\nX-A: ");
    }
    writePlan(2, "," + routeText("added", "/added/", "safe"));
    CHECK(eventually([&] { return daemon.log().find("event=settings_adopted revision=2") != std::string::npos; }, 10s));
    CHECK(eventually([this] { return call("GET", "/added/1").body == "whole"; }, 10s));
}
