#include "EntryFixture.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

bool respondSlowly(RawConnection& connection, std::string const& head)
{
    std::this_thread::sleep_for(200ms);
    return connection.send(signedResponse(head, "whole"));
}

}

// Each state in which a planned stop may find a request: its caller gets a whole response, and none is reset.
TEST_CASE_METHOD(EntryFixture, "Entry_SigtermInAnyStateOfARequest_ItIsAnswered")
{
    auto& target = addTarget("t1", respondSlowly);
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon({ .balancerLagMilliseconds = 200 });
    auto const text = requestText("POST", "/pay/1", "a1", "paper=1");
    auto caller = daemon.connect();

    SECTION("half of the head has arrived")
    {
        REQUIRE(caller.send(text.substr(0, 30)));
        std::this_thread::sleep_for(50ms);
        daemon.terminate();
        std::this_thread::sleep_for(100ms);
        REQUIRE(caller.send(text.substr(30)));
    }
    SECTION("the load of the targets is asked")
    {
        target.loadDelayMilliseconds = 150;
        REQUIRE(caller.send(text));
        std::this_thread::sleep_for(50ms);
        daemon.terminate();
    }
    SECTION("it arrives right after the signal")
    {
        daemon.terminate();
        REQUIRE(caller.send(text));
    }
    SECTION("a second signal follows")
    {
        REQUIRE(caller.send(text));
        daemon.terminate();
        std::this_thread::sleep_for(50ms);
        daemon.terminate();
    }
    SECTION("the store is away")
    {
        setFaults(R"({"mode":"hang"})");
        REQUIRE(caller.send(text));
        daemon.terminate();
    }
    CHECK(caller.readResponse().body == "whole");
    CHECK(target.runs == 1);
    CHECK(daemon.waitForExit() == 0);
}

// Lookups that wait behind each other on one connection have all been accepted. Each gets its response, or the response
// before it says that the connection closes, so that its caller sends it again.
TEST_CASE_METHOD(EntryFixture, "Entry_SigtermDuringPipelinedLookups_EachIsAnsweredOrFollowsAClosingResponse")
{
    addTarget("t1", respondSlowly);
    addTarget("t2", respondSlowly);
    StopAtScopeEnd const stop(*this);
    // The daemon stops accepting while the targets still work on the lookups.
    auto& daemon = startDaemon({ .balancerLagMilliseconds = 20 });
    auto caller = daemon.connect();
    for (auto const* id : { "p1", "p2", "p3", "p4" })
        REQUIRE(caller.send(requestText("GET", "/read/1", id)));
    std::this_thread::sleep_for(50ms);
    daemon.terminate();
    bool isClosing = false;
    for (auto const* id : { "p1", "p2", "p3", "p4" }) {
        if (isClosing)
            break;
        CAPTURE(id);
        auto const response = caller.readResponse();
        CHECK(response.isComplete);
        CHECK(response.field("X-Comfreysail-Request-Id") == id);
        isClosing = response.field("Connection") == "close";
    }
    CHECK(daemon.waitForExit() == 0);
}

// Two daemons that pass rows to each other stop one after the other under load. No request may be cut off.
TEST_CASE_METHOD(EntryFixture, "Entry_NeighboursStopInSeriesUnderLoad_NoRequestIsCutOff")
{
    addTarget("t1", respondSlowly).load = "0,0,64,100";
    StopAtScopeEnd const stop(*this);
    auto& first = startDaemon({ .balancerLagMilliseconds = 200, .vmName = "entry-1" });
    auto& second
        = startDaemon({ .balancerLagMilliseconds = 200, .vmName = "entry-2", .seedPorts = { first.controlPort() } });
    std::atomic<unsigned> cut { 0 };
    std::atomic<unsigned> answered { 0 };
    std::vector<std::jthread> callers;
    for (unsigned number = 0; number < 12; ++number) {
        callers.emplace_back([&, number] {
            auto connection = (number % 2 == 0 ? first : second).connect();
            for (unsigned count = 0;; ++count) {
                auto const id = "s" + std::to_string(number) + "n" + std::to_string(count);
                connection.send(requestText("GET", "/read/1", id));
                auto const response = connection.readResponse();
                if (!response.isComplete) {
                    ++cut;
                    return;
                }
                ++answered;
                if (response.field("Connection") == "close")
                    return;
            }
        });
    }
    std::this_thread::sleep_for(500ms);
    first.terminate();
    std::this_thread::sleep_for(300ms);
    second.terminate();
    callers.clear();
    CHECK(cut == 0);
    CHECK(answered > 0);
    CHECK(first.waitForExit() == 0);
    CHECK(second.waitForExit() == 0);
}
