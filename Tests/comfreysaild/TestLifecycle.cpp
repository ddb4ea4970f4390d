#include <Support/DaemonProcess.h>
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

/// Waits until the condition holds; false after two seconds.
bool eventually(std::function<bool()> const& condition)
{
    auto const deadline = std::chrono::steady_clock::now() + 2s;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

std::string fileContent()
{
    std::string content;
    for (int line = 0; line < 300'000; ++line)
        content += std::to_string(line) + "\n";
    return content;
}

/// Serves a file with Range support, and cuts the first response in the middle.
struct FileScript {
    std::string content;
    std::string secondTag;
    std::atomic<unsigned> requests { 0 };

    bool operator()(RawConnection& connection, std::string const& head)
    {
        if (++requests == 1) {
            connection.send("HTTP/1.1 200 OK\r\nETag: \"a\"\r\nContent-Length: " + std::to_string(content.size())
                + "\r\n\r\n" + content.substr(0, content.size() / 2));
            return false;
        }
        auto const rangeAt = head.find("Range: bytes=");
        if (rangeAt == std::string::npos || head.find("If-Range: \"a\"\r\n") == std::string::npos)
            return false;
        auto const first = std::stoul(head.substr(rangeAt + 13));
        connection.send(wholeResponse(content.substr(first),
            "ETag: " + secondTag + "\r\nContent-Range: bytes " + std::to_string(first) + "-"
                + std::to_string(content.size() - 1) + "/" + std::to_string(content.size()) + "\r\n",
            "206 Partial Content"));
        return true;
    }
};

}

TEST_CASE("Download_Interrupted_IsResumedOnAnotherTarget", "[Download]")
{
    for (std::string const secondTag : { "\"a\"", "\"b\"" }) {
        INFO(secondTag);
        FileScript script { fileContent(), secondTag };
        auto const shared
            = [&](RawConnection& connection, std::string const& head) { return script(connection, head); };
        ScriptedTarget first(shared);
        ScriptedTarget second(shared);
        DaemonProcess const daemon({ .targets = { { first.port() }, { second.port() } } });
        auto const response = daemon.call(request("GET", "/files/audio"));
        CHECK(script.requests == 2);
        // The second half must not come from another version of the file, which has a different ETag.
        CHECK(response.isComplete == (secondTag == "\"a\""));
        if (response.isComplete)
            CHECK((response.body == script.content));
    }
}

// Guards against truncated downloads: with one target in each zone, a download whose target failed found no other
// target in the zone and was cut off.
TEST_CASE("Download_OnlyTargetOfZoneFails_IsResumedInAnotherZone", "[Download]")
{
    FileScript script { fileContent(), "\"a\"" };
    auto const shared = [&](RawConnection& connection, std::string const& head) { return script(connection, head); };
    ScriptedTarget first(shared);
    ScriptedTarget second(shared);
    DaemonProcess const daemon({ .targets = { { first.port(), 2, "pos-hall" }, { second.port(), 2, "arima" } } });
    auto const response = daemon.call(request("GET", "/files/audio"));
    CHECK(script.requests == 2);
    CHECK(response.isComplete);
    CHECK((response.body == script.content));
}

TEST_CASE("Download_SlowCaller_IsNotBuffered", "[Download]")
{
    constexpr size_t size = 256UL * 1024 * 1024;
    ScriptedTarget target([](RawConnection& connection, std::string const&) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n");
        std::string const piece(1024 * 1024, 'x');
        for (size_t sent = 0; sent < size; sent += piece.size()) {
            if (!connection.send(piece))
                return false;
        }
        return true;
    });
    DaemonProcess const daemon({ .targets = { { target.port() } } });
    auto const before = daemon.residentKilobytes();
    auto connection = daemon.connect();
    connection.send(request("GET", "/files/large"));
    std::this_thread::sleep_for(500ms);
    CHECK(daemon.residentKilobytes() < before + 8 * 1024);
    auto const response = connection.readResponse();
    CHECK(response.body.size() == size);
    CHECK(daemon.residentKilobytes() < before + 8 * 1024);
}

TEST_CASE("Cancellation_CallerGone_FreesTheSlot", "[Cancellation]")
{
    std::atomic<bool> wasClosed { false };
    ScriptedTarget target([&](RawConnection& connection, std::string const& head) {
        if (head.starts_with("GET /silent"))
            wasClosed = connection.waitForEnd(3s);
        else
            connection.send(wholeResponse("ok"));
        return !wasClosed;
    });
    DaemonProcess const daemon({ .targets = { { target.port(), 1 } } });
    {
        auto connection = daemon.connect();
        connection.send(request("GET", "/silent"));
        REQUIRE(eventually([&] { return target.requests() == 1; }));
    }
    CHECK(eventually([&] { return wasClosed.load(); }));
    CHECK(daemon.call(request("GET", "/", "Comfreysail-Timeout-Ms: 1000\r\n")).body == "ok");
}

TEST_CASE("Deadline_PassedInQueue_IsRefusedAndNeverSent", "[Deadline]")
{
    std::atomic<bool> mayAnswer { false };
    ScriptedTarget target([&](RawConnection& connection, std::string const&) {
        eventually([&] { return mayAnswer.load(); });
        connection.send(wholeResponse("ok"));
        return true;
    });
    DaemonProcess const daemon({ .targets = { { target.port(), 1 } } });
    auto send = [&](std::string const& timeout) {
        auto connection = daemon.connect();
        connection.send(request("GET", "/queued", "Comfreysail-Timeout-Ms: " + timeout + "\r\n"));
        return connection;
    };
    // The first request takes the slot. The second one is sent ahead of a free slot or, while the target is cold, is
    // first in the queue. Together they use up the capacity for the whole test.
    std::vector<RawConnection> running;
    running.push_back(send("20000"));
    REQUIRE(eventually([&] { return target.requests() == 1; }));
    running.push_back(send("20000"));
    std::vector<RawConnection> queued;
    for (int number = 0; number < 4; ++number)
        queued.push_back(send("300"));
    for (auto& connection : queued) {
        auto const response = connection.readResponse();
        CHECK(response.status() == 504);
        CHECK(response.field("Comfreysail-Outcome") == "not-run");
    }
    mayAnswer = true;
    for (auto& connection : running)
        CHECK(connection.readResponse().status() == 200);
    CHECK(target.requests() == 2);
}

TEST_CASE("Shutdown_RunningRequests_AreNotInterrupted", "[Shutdown]")
{
    std::atomic<bool> mayAnswer { false };
    auto const script = [&](RawConnection& connection, std::string const& head) {
        if (head.starts_with("GET /slow"))
            eventually([&] { return mayAnswer.load(); });
        connection.send(wholeResponse("whole"));
        return true;
    };
    // Two targets, because a cold one gets only one request at a time.
    ScriptedTarget first(script);
    ScriptedTarget second(script);
    DaemonProcess daemon({ .targets = { { first.port() }, { second.port() } }, .balancerLagMilliseconds = 300 });
    auto running = daemon.connect();
    running.send(request("GET", "/slow"));
    REQUIRE(eventually([&] { return first.requests() + second.requests() == 1; }));
    auto kept = daemon.connect();
    daemon.terminate();
    CHECK(eventually([&] { return daemon.admin("/ready").status() == 503; }));
    CHECK(daemon.admin("/health").status() == 200);
    // The platform's balancer may not have noticed yet, so new requests are still served.
    kept.send(request("GET", "/during-lag"));
    CHECK(kept.readResponse().body == "whole");
    std::this_thread::sleep_for(500ms);
    kept.send(request("GET", "/too-late"));
    auto const refusal = kept.readResponse();
    CHECK(refusal.field("Comfreysail-Error") == "shutting_down");
    CHECK(refusal.field("Comfreysail-Outcome") == "not-run");
    CHECK(refusal.field("Connection") == "close");
    daemon.terminate(); // A second signal must not interrupt responses either.
    std::this_thread::sleep_for(100ms);
    mayAnswer = true;
    CHECK(running.readResponse().body == "whole");
    CHECK(daemon.waitForExit() == 0);
    CHECK(first.requests() + second.requests() == 2);
}

TEST_CASE("Shutdown_QueuedRequest_IsFinished", "[Shutdown]")
{
    ScriptedTarget target([&](RawConnection& connection, std::string const&) {
        std::this_thread::sleep_for(200ms);
        connection.send(wholeResponse("whole"));
        return true;
    });
    DaemonProcess daemon({ .targets = { { target.port(), 1 } } });
    std::vector<RawConnection> connections;
    for (int number = 0; number < 4; ++number) {
        connections.push_back(daemon.connect());
        connections.back().send(request("GET", "/queued"));
    }
    REQUIRE(eventually([&] { return target.requests() >= 1; }));
    std::this_thread::sleep_for(50ms);
    daemon.terminate();
    for (auto& connection : connections)
        CHECK(connection.readResponse().body == "whole");
    CHECK(daemon.waitForExit() == 0);
}

TEST_CASE("Quarantine_SecondCrash_RefusesTheRequest", "[Quarantine]")
{
    std::atomic<unsigned> crashes { 0 };
    auto const script = [&](RawConnection& connection, std::string const& head) {
        if (head.starts_with("GET /poison")) {
            ++crashes;
            return false;
        }
        connection.send(wholeResponse("ok"));
        return true;
    };
    ScriptedTarget first(script);
    ScriptedTarget second(script);
    ScriptedTarget third(script);
    DaemonProcess const daemon({ .targets = { { first.port() }, { second.port() }, { third.port() } } });
    for (int call = 0; call < 5; ++call)
        daemon.call(request("GET", "/poison"));
    CHECK(crashes == 2);
    CHECK(daemon.call(request("GET", "/poison")).field("Comfreysail-Error") == "request_quarantined");
    CHECK(daemon.call(request("GET", "/fine")).body == "ok");
}
