#include "EntryFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <mutex>
#include <thread>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

ScriptedTarget::Script respondWith(std::function<std::string()> fields)
{
    return [fields = std::move(fields)](RawConnection& connection, std::string const& head) {
        auto response = signedResponse(head, "whole");
        return connection.send(response.insert(response.find("\r\n") + 2, fields()));
    };
}

/// A route without a latency target, whose requests may wait for as long as they can still be served.
std::string const routeThatWaits
    = R"(,{"name":"batch","host":"orders.test","prefix":"/batch/","kind":"safe","timeout-s":12,"priority":1,)"
      R"("service":"orders","max-attempts":2})";

/// The refusal of a target that wants no requests for some time.
std::string pauseResponse(std::string const& head, std::chrono::milliseconds time)
{
    constexpr double millisecondsPerSecond = 1000;
    return wholeResponse("",
        "X-Comfreysail-Request-Id: " + requestIdOf(head) + "\r\nX-Comfreysail-Not-Executed: full\r\nRetry-After: "
            + std::to_string(static_cast<double>(time.count()) / millisecondsPerSecond) + "\r\n",
        "503 Service Unavailable");
}

}

// Guards against more requests to a target in need than its part of the limit that it named, and against a limit that
// stays.
TEST_CASE_METHOD(EntryFixture, "Entry_TargetNamesALimit_GetsNoMoreUntilTheLimitEnds")
{
    std::atomic<bool> isLimited { true };
    auto& limited = addTarget("t1", respondWith([&] { return std::string(isLimited ? "Server-Limit: 2\r\n" : ""); }));
    auto& other = addTarget("t2", respondWith([] { return std::string(); }));
    StopAtScopeEnd const stop(*this);
    other.load = "1,0,16,200"; // Makes the daemon choose the limited one while it may.
    startDaemon();
    for (unsigned index = 0; index < 40; ++index) {
        CHECK(call("GET", "/read/" + std::to_string(index)).body == "whole");
        std::this_thread::sleep_for(50ms);
    }
    CHECK(limited.runs >= 2);
    CHECK(limited.runs <= 6);
    isLimited = false;
    CHECK(eventually([&] {
        call("GET", "/read/1");
        return limited.runs >= 20;
    }));
}

// Guards against requests to a target that leaves, while its registration still calls it ready or the store is away.
// What another request's response says does not count.
TEST_CASE_METHOD(EntryFixture, "Entry_TargetSaysThatItLeaves_GetsNothingMore")
{
    auto const where = GENERATE(values<std::string>({ "request", "probe", "other response" }));
    CAPTURE(where);
    std::atomic<bool> isLeaving { false };
    std::string const field = "Server-Leaving: 1\r\n";
    auto& leaving = addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        if (isLeaving && where == "other response")
            connection.send(wholeResponse("", "X-Comfreysail-Request-Id: other\r\n" + field));
        auto response = signedResponse(head, "whole");
        if (isLeaving && where == "request")
            response.insert(response.find("\r\n") + 2, field);
        return connection.send(response);
    });
    leaving.loadScript = [&](RawConnection& connection, std::string const&) {
        auto response = leaving.loadResponse();
        if (isLeaving && where == "probe")
            response.insert(response.find("\r\n") + 2, field);
        return connection.send(response);
    };
    auto& other = addTarget("t2", respondWith([] { return std::string(); }));
    StopAtScopeEnd const stop(*this);
    // Makes the daemon choose the leaving one while it may; the other one has no room if that has to stay in use.
    other.load = where == "other response" ? "2,8,2,100" : "1,0,16,200";
    startDaemon();
    CHECK(call("GET", "/read/1").body == "whole");
    CHECK(leaving.runs == 1);
    setFaults(R"({"mode":"down"})");
    isLeaving = true;
    for (unsigned index = 0; index < 6; ++index)
        CHECK(call(index % 2 == 0 ? "POST" : "GET", index % 2 == 0 ? "/pay/1" : "/read/1").body == "whole");
    if (where == "other response")
        CHECK(leaving.runs == 7);
    else
        CHECK(leaving.runs <= 2);
    CHECK(leaving.runs + other.runs == 7);
}

// Guards against requests to a target that refused one and wants none for some time, and against callers that are told
// to come back before any target can be used.
TEST_CASE_METHOD(EntryFixture, "Entry_TargetWantsNoRequestsForSomeTime_GetsNone")
{
    bool const isOnly = GENERATE(false, true);
    CAPTURE(isOnly);
    auto& refusing = addTarget("t1", [](RawConnection& connection, std::string const& head) {
        return connection.send(wholeResponse("",
            "X-Comfreysail-Request-Id: " + requestIdOf(head)
                + "\r\nX-Comfreysail-Not-Executed: full\r\nRetry-After: 1.5\r\n",
            "503 Service Unavailable"));
    });
    EntryTarget* other = nullptr;
    if (!isOnly) {
        other = &addTarget("t2", respondWith([] { return std::string(); }));
        other->load = "1,0,16,200"; // Makes the daemon choose the refusing one while it may.
    }
    StopAtScopeEnd const stop(*this);
    startDaemon();
    auto const begin = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - begin < 1200ms) {
        auto const response = call("GET", "/read/1");
        CHECK(response.status() == (isOnly ? 503U : 200U));
        if (isOnly) {
            CHECK(response.field("Retry-After") >= "0.3");
            CHECK(response.field("Retry-After") <= "0.667");
        }
        std::this_thread::sleep_for(40ms);
    }
    CHECK(refusing.runs == 1);
    CHECK(eventually([&] {
        call("GET", "/read/1");
        return refusing.runs == 2;
    }));
    CHECK(std::chrono::steady_clock::now() - begin >= 1500ms);
}

// Guards against requests that are refused although all targets can be used again soon, and against requests that are
// held although they cannot be served afterwards, or lose their worth meanwhile.
TEST_CASE_METHOD(EntryFixture, "Entry_AllTargetsArePaused_RequestsWaitOnlyIfTheyCanBeServed")
{
    std::atomic<bool> isPausing { false };
    auto& target = addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        if (isPausing.exchange(false))
            return connection.send(pauseResponse(head, 700ms));
        return connection.send(signedResponse(head, "whole"));
    });
    StopAtScopeEnd const stop(*this);
    writePlan(2, routeThatWaits);
    startDaemon();
    REQUIRE(eventually([&] { return call("GET", "/batch/1").body == "whole"; }));
    auto const runsBefore = target.runs.load();
    isPausing = true;
    auto const begin = std::chrono::steady_clock::now();
    CHECK(call("GET", "/batch/1").body == "whole");
    CHECK(std::chrono::steady_clock::now() - begin >= 700ms);
    CHECK(target.runs == runsBefore + 2);
    // The gradual return is as long as twice the pause.
    REQUIRE(eventually([&] { return call("GET", "/read/1").status() == 200; }));
    std::this_thread::sleep_for(1500ms);

    isPausing = true;
    auto const refused = call("GET", "/read/1");
    CHECK(refused.status() == 503);
    CHECK(refused.field("Comfreysail-Error") == "target_shed_request");
    CHECK(refused.field("Comfreysail-Outcome") == "not-run");
    auto const refusedLater = call("GET", "/read/1");
    CHECK(refusedLater.status() == 503);
    CHECK(refusedLater.field("Comfreysail-Error") == "no_target_available");
    CHECK(refusedLater.field("Comfreysail-Outcome") == "not-run");
    auto connection = daemon().connect();
    connection.send(requestText("GET", "/batch/1", "short", {}, 300));
    auto const tooShort = connection.readResponse();
    CHECK(tooShort.status() == 503);
    CHECK(tooShort.field("Comfreysail-Error") == "no_target_available");
    CHECK(tooShort.field("Comfreysail-Outcome") == "not-run");
    CHECK(call("GET", "/batch/1").body == "whole");
    auto const metrics = daemon().admin("/metrics").body;
    for (auto const* const decision : { "wait", "deadline", "latency" }) {
        CAPTURE(decision);
        CHECK(metrics.find("comfreysail_target_pause_decisions_total{decision=\"" + std::string(decision) + "\"}")
            != std::string::npos);
    }
    CHECK(metrics.find("comfreysail_target_signals_total{signal=\"not_before\"} 2") != std::string::npos);
}

// Guards against refused clients that come back together, or before they can be sent.
TEST_CASE_METHOD(EntryFixture, "Entry_ClientsAreRefusedDuringAPause_AreToldToComeBackOneAfterAnother")
{
    constexpr unsigned clients = 12;
    static constexpr auto pause = 2s;
    addTarget("t1",
        [](RawConnection& connection, std::string const& head) { return connection.send(pauseResponse(head, pause)); });
    StopAtScopeEnd const stop(*this);
    startDaemon();
    CHECK(call("GET", "/read/1").status() == 503);
    auto const told = std::chrono::steady_clock::now();
    std::vector<double> returns;
    for (unsigned index = 0; index < clients; ++index) {
        auto connection = daemon().connect();
        connection.send(requestText("GET", "/read/1", "refused-" + std::to_string(index), {}, 60'000));
        auto const response = connection.readResponse();
        CHECK(response.status() == 503);
        returns.push_back(std::chrono::duration<double>(std::chrono::steady_clock::now() - told).count()
            + std::stod(response.field("Retry-After")));
    }
    // The daemon was told a moment before the first client was refused, and rounds to milliseconds.
    CHECK(returns.front() >= 1.5);
    // Two slots start 10 requests a second, as the work is assumed to be 200 ms, and fewer during the return.
    CHECK(returns.back() >= 2 + 1.1);
    CHECK(returns.back() <= 2 + 6);
    for (size_t index = 1; index < returns.size(); ++index)
        CHECK(returns[index] > returns[index - 1] - 0.1);
}

// Guards against all requests that waited for the end of a target's time and reach it at once, from several daemons.
TEST_CASE_METHOD(EntryFixture, "Entry_ManyRequestsWaitedForATarget_ReachItGradually")
{
    constexpr unsigned daemonCount = 3;
    constexpr unsigned requestsPerDaemon = 10;
    constexpr auto firstPart = 400ms;
    constexpr unsigned maxInFirstPart = 8; // Of 30. A quarter of the full rate of 10 a second is 1, and one a daemon.
    std::mutex mutex;
    std::optional<std::chrono::steady_clock::time_point> end;
    std::vector<std::chrono::steady_clock::time_point> arrivals;
    auto& target = addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        auto const now = std::chrono::steady_clock::now();
        std::lock_guard const lock(mutex);
        if (!end)
            end = now + 2s;
        if (now < *end)
            return connection.send(pauseResponse(head, std::chrono::ceil<std::chrono::milliseconds>(*end - now)));
        arrivals.push_back(now);
        return connection.send(signedResponse(head, "whole"));
    });
    StopAtScopeEnd const stop(*this);
    target.load = "0,0,64,100"; // Load reports do not limit the sends.
    writePlan(2, routeThatWaits);
    std::vector<DaemonProcess*> daemons;
    for (unsigned index = 0; index < daemonCount; ++index) {
        DaemonOptions options;
        options.vmName = "entry-" + std::to_string(index + 1);
        daemons.push_back(&startDaemon(options));
    }
    std::this_thread::sleep_for(1s); // Each daemon knows the others as members.
    for (auto* daemon : daemons)
        CHECK(daemon->call(requestText("GET", "/read/1", "first")).status() == 503);
    CHECK(target.runs == daemonCount);
    std::atomic<unsigned> served { 0 };
    {
        std::vector<std::jthread> clients;
        for (unsigned index = 0; index < daemonCount * requestsPerDaemon; ++index)
            clients.emplace_back([&, index] {
                auto connection = daemons[index % daemonCount]->connect();
                connection.setTimeout(12s);
                connection.send(requestText("GET", "/batch/1", "waits-" + std::to_string(index), {}, 12'000));
                served += connection.readResponse().body == "whole" ? 1 : 0;
            });
    }
    CHECK(served == daemonCount * requestsPerDaemon);
    CHECK(target.runs == daemonCount + daemonCount * requestsPerDaemon);
    REQUIRE(end);
    auto const early = std::ranges::count_if(arrivals, [&](auto time) { return time < *end + firstPart; });
    CHECK(early >= 1);
    CHECK(early <= maxInFirstPart);
}

// Guards against values that take a target out of use, or limit it, although they mean nothing, and that nobody sees.
TEST_CASE_METHOD(EntryFixture, "Entry_TargetSendsInvalidOrContradictorySignals_IsServedAsBefore")
{
    struct Case {
        std::string fields;
        unsigned ignored; ///< Fields that are ignored in each response.
    };
    auto const example = GENERATE(values<Case>({
        { "Server-Leaving: yes\r\n", 1 },
        { "Server-Leaving: 0\r\nServer-Leaving: -1\r\n", 1 },
        { "Server-Limit: -1\r\n", 1 },
        { "Server-Limit: 1e3\r\nServer-Limit: 1.2.3\r\n", 2 },
        { "Server-Limit: 99999999999999999999\r\n", 1 },
        { "Retry-After: -5\r\n", 1 },
        { "Retry-After: Fri, 31 Dec 2027 23:59:59 GMT\r\n", 1 },
        // Values that a proxy joined.
        { "Server-Leaving: 1, 1\r\nServer-Limit: 1, 2\r\nRetry-After: 30, 40\r\n", 3 },
        { "Retry-After: 30\r\n", 0 }, // Only in a refusal.
        { "Server-Limit: 999999.5\r\nServer-Leaving: 0\r\n", 0 },
    }));
    CAPTURE(example.fields);
    auto& target = addTarget("t1", respondWith([&] { return example.fields; }));
    StopAtScopeEnd const stop(*this);
    startDaemon();
    constexpr unsigned requests = 5;
    for (unsigned index = 0; index < requests; ++index)
        CHECK(call("GET", "/read/1").body == "whole");
    CHECK(target.runs == requests);
    auto const metrics = daemon().admin("/metrics").body;
    std::string const counter = "comfreysail_target_signals_total{signal=\"ignored\"} ";
    if (example.ignored > 0)
        CHECK(metrics.find(counter + std::to_string(example.ignored * requests) + "\n") != std::string::npos);
    else
        CHECK(metrics.find(counter) == std::string::npos);
    // Without a valid statement nothing is decided by it.
    CHECK(metrics.find("comfreysail_target_pause_decisions_total") == std::string::npos);
    CHECK(metrics.find("comfreysail_targets_left_out_total") == std::string::npos);
    CHECK((daemon().log().find("event=target_signal_ignored target=t1") != std::string::npos) == (example.ignored > 0));
}

// Guards against a response whose head breaks off, with an orderly close, and which reaches the caller as complete.
TEST_CASE_METHOD(EntryFixture, "Entry_ResponseHeadBreaksOff_IsNotShownAsComplete")
{
    auto const isOrder = GENERATE(false, true);
    size_t sent = 0;
    addTarget("t1", [&sent](RawConnection& connection, std::string const& head) {
        auto const response = signedResponse(head, "whole");
        connection.send(response.substr(0, std::min(sent, response.find("\r\n\r\n") + 3)));
        return false;
    });
    StopAtScopeEnd const stop(*this);
    startDaemon();
    for (sent = 0; sent < 160; sent += 9) {
        CAPTURE(isOrder, sent);
        auto const response = isOrder ? call("POST", "/pay/1", "order") : call("GET", "/read/1");
        CHECK((response.status() == 502 || response.status() == 503));
    }
}
