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

/// The daemon is planned to end this long after SIGTERM.
void setGrace(DaemonProcess const& daemon, std::string const& seconds)
{
    daemon.replaceInSettings("grace_seconds = \"6\"", "grace_seconds = \"" + seconds + "\"");
    daemon.hangUp();
    REQUIRE(eventually([&] { return daemon.log().find("event=settings_file_read") != std::string::npos; }));
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

// Guards against an order that comes late in the grace time, on a connection that was kept open for a request from
// before the stop. It was passed on, and cut off without a response when the daemon ended.
TEST_CASE_METHOD(EntryFixture, "Entry_SigtermDuringARequest_ItsConnectionTakesNoLaterOne")
{
    std::atomic<unsigned> orders { 0 };
    std::atomic<unsigned> answeredOrders { 0 };
    StopAtScopeEnd const stop(*this);
    addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        bool const isOrder = head.starts_with("POST ");
        orders += isOrder ? 1 : 0;
        std::this_thread::sleep_for(900ms);
        return connection.send(signedResponse(head, "whole"));
    });
    auto& daemon = startDaemon({ .balancerLagMilliseconds = 100 });
    setGrace(daemon, "1.8");
    auto caller = daemon.connect();
    REQUIRE(caller.send(requestText("GET", "/read/1", "k1")));
    std::this_thread::sleep_for(100ms);
    daemon.terminate();
    auto const first = caller.readResponse();
    CHECK(first.body == "whole");
    CHECK(first.field("Connection") == "close");
    caller.send(requestText("POST", "/pay/1", "k2", "order"));
    answeredOrders += caller.readResponse().status() != 0 ? 1 : 0;
    CHECK(daemon.waitForExit() == 0);
    CHECK(orders == answeredOrders);
}

// The same where a download that has begun before the stop keeps its connection open.
TEST_CASE_METHOD(EntryFixture, "Entry_SigtermDuringADownload_ItsConnectionTakesNoLaterRequest")
{
    std::atomic<unsigned> orders { 0 };
    StopAtScopeEnd const stop(*this);
    std::string const half(size_t { 2 } << 20, 'x');
    addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        if (head.starts_with("POST ")) {
            ++orders;
            std::this_thread::sleep_for(900ms);
            return connection.send(signedResponse(head, "whole"));
        }
        connection.send("HTTP/1.1 200 OK\r\nX-Comfreysail-Request-Id: " + requestIdOf(head)
            + "\r\nX-Comfreysail-Backend-Signature: s\r\nContent-Length: " + std::to_string(2 * half.size())
            + "\r\n\r\n" + half);
        std::this_thread::sleep_for(900ms);
        return connection.send(half);
    });
    auto& daemon = startDaemon({ .balancerLagMilliseconds = 100 });
    setGrace(daemon, "1.8");
    auto caller = daemon.connect();
    REQUIRE(caller.send(requestText("GET", "/files/1", "k1")));
    auto const head = caller.readUntil("\r\n\r\n");
    daemon.terminate();
    CHECK(caller.readExactly(2 * half.size()).size() == 2 * half.size());
    std::this_thread::sleep_for(50ms);
    caller.send(requestText("POST", "/pay/1", "k2", "order"));
    bool const isAnswered = caller.readResponse().status() != 0;
    CHECK(daemon.waitForExit() == 0);
    CHECK((orders == 0 || isAnswered));
}

// A request whose head was on its way when the stop began arrives too late to be served. It is refused at once, and
// truthfully as not run, so that its caller goes to another VM.
TEST_CASE_METHOD(EntryFixture, "Entry_RequestArrivesAtTheEndOfTheGraceTime_IsRefusedAsNotRun")
{
    std::atomic<unsigned> orders { 0 };
    StopAtScopeEnd const stop(*this);
    addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        orders += head.starts_with("POST ") ? 1 : 0;
        std::this_thread::sleep_for(head.starts_with("POST ") ? 500ms : 950ms);
        return connection.send(signedResponse(head, "whole"));
    });
    auto& daemon = startDaemon({ .balancerLagMilliseconds = 100 });
    setGrace(daemon, "1.3");
    auto const text = requestText("POST", "/pay/1", "e1", "order");
    // The daemon does not end before this lookup is answered.
    auto running = daemon.connect();
    REQUIRE(running.send(requestText("GET", "/read/1", "e2")));
    auto late = daemon.connect();
    REQUIRE(late.send(text.substr(0, 30)));
    std::this_thread::sleep_for(50ms);
    daemon.terminate();
    std::this_thread::sleep_for(850ms);
    auto const begin = std::chrono::steady_clock::now();
    REQUIRE(late.send(text.substr(30)));
    auto const response = late.readResponse();
    CHECK(response.status() == 503);
    CHECK(response.field("Connection") == "close");
    CHECK_FALSE(response.field("Retry-After").empty());
    CHECK(std::chrono::steady_clock::now() - begin < 100ms);
    CHECK(orders == 0);
    CHECK(running.readResponse().body == "whole");
    CHECK(daemon.waitForExit() == 0);
}

// What still runs when the grace time ends gets a response that promises nothing, instead of a reset.
TEST_CASE_METHOD(EntryFixture, "Entry_OrderRunsAtTheEndOfTheGraceTime_IsAnsweredAsUnknown")
{
    StopAtScopeEnd const stop(*this);
    auto& target = addTarget("t1", [](RawConnection& connection, std::string const&) {
        connection.waitForEnd(2s);
        return false;
    });
    auto& daemon = startDaemon();
    setGrace(daemon, "0.7");
    auto caller = daemon.connect();
    REQUIRE(caller.send(requestText("POST", "/pay/1", "u1", "order")));
    REQUIRE(eventually([&] { return target.runs == 1; }));
    daemon.terminate();
    auto const response = caller.readResponse();
    CHECK(response.isComplete);
    CHECK(response.status() == 502);
    CHECK(daemon.waitForExit(700ms) == 0);
}

// Guards against a planned stop that resets a download which its client still reads: the daemon had written all of it,
// took the connection for idle and closed it, and the client's next request met a closed socket.
TEST_CASE_METHOD(EntryFixture, "Entry_SigtermWhileAClientReadsADownload_TheClientGetsAllOfIt")
{
    std::string const body(500'000, 'x');
    addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        return connection.send(signedResponse(head, body));
    });
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon({ .balancerLagMilliseconds = 200 });
    auto caller = RawConnection::connectTo(daemon.callerPort(), 16 * 1024);
    REQUIRE(caller.send(requestText("GET", "/files/1", "d1", {}, 10'000)));
    auto const head = caller.readUntil("\r\n\r\n");
    CHECK(head.find("Connection: close") == std::string::npos);
    size_t received = caller.readExactly(50'000).size();
    daemon.terminate();
    bool const sendsNext = GENERATE(true, false);
    CAPTURE(sendsNext);
    while (received < body.size()) {
        std::this_thread::sleep_for(200ms);
        auto const part = caller.readExactly(std::min<size_t>(50'000, body.size() - received)).size();
        if (part == 0)
            break;
        received += part;
        if (sendsNext && received == 250'000)
            CHECK(caller.send(requestText("GET", "/files/2", "d2", {}, 10'000)));
    }
    CHECK(received == body.size());
    if (sendsNext) {
        auto const next = caller.readResponse();
        CHECK(next.field("Connection") == "close");
        CHECK(next.body == body);
    }
    CHECK(caller.waitForEnd(2s));
    CHECK(daemon.waitForExit() == 0);
}
