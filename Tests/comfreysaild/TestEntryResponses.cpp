#include "EntryFixture.h"

#include <catch2/catch.hpp>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

std::string signatureFields(std::string const& head)
{
    auto const id = requestIdOf(head);
    return "X-Comfreysail-Request-Id: " + id + "\r\nX-Comfreysail-Backend-Signature: s." + id + "\r\n";
}

std::string idField(std::string const& head) { return "X-Comfreysail-Request-Id: " + requestIdOf(head) + "\r\n"; }

bool respondComplete(RawConnection& connection, std::string const& head)
{
    connection.send(signedResponse(head, "whole"));
    return true;
}

bool respondTruncated(RawConnection& connection, std::string const& head)
{
    connection.send("HTTP/1.1 200 OK\r\n" + signatureFields(head) + "Content-Length: 100\r\n\r\nshort");
    return false;
}

struct ResponseCase {
    std::string name;
    ScriptedTarget::Script script;
    unsigned lookupStatus; ///< Expected status of a lookup, which may run several times, if there is no other target.
    unsigned orderStatus;  ///< Expected status of an order, which may run only once, if there is no other target.
    unsigned orderStatusWithOtherTarget; ///< Expected status of an order if there is another, working target.
    unsigned orderRunsAtOtherTarget;     ///< Expected runs of that order at the other target.
};

ScriptedTarget::Script respondWith(std::function<std::string(std::string const&)> const& text, bool keepOpen = true)
{
    return [=](RawConnection& connection, std::string const& head) {
        connection.send(text(head));
        return keepOpen;
    };
}

std::vector<ResponseCase> responseCases()
{
    return {
        { "whole", respondComplete, 200, 200, 200, 0 },
        // A truncated response was once delivered with a length that made it look complete, when no other target could
        // take the request.
        { "truncated", respondTruncated, 502, 502, 502, 0 },
        { "reset without an answer",
            [](RawConnection& connection, std::string const&) {
                connection.reset();
                return false;
            },
            502, 502, 502, 0 },
        { "no signature", respondWith([](std::string const& head) {
             return wholeResponse("x", "X-Comfreysail-Request-Id: " + requestIdOf(head) + "\r\n");
         }),
            502, 502, 502, 0 },
        { "encoded", respondWith([](std::string const& head) {
             return wholeResponse("x", signatureFields(head) + "Content-Encoding: gzip\r\n");
         }),
            502, 502, 502, 0 },
        { "not HTTP", respondWith([](std::string const&) { return "hello\r\n\r\n"; }, false), 502, 502, 502, 0 },
        { "shed", respondWith([](std::string const& head) {
             return wholeResponse("", idField(head) + "X-Comfreysail-Not-Executed: 1\r\n", "503 Service Unavailable");
         }),
            503, 503, 200, 1 },
        { "other target at the address", respondWith([](std::string const& head) {
             return wholeResponse(
                 "", idField(head) + "X-Comfreysail-Instance-Id: other\r\n", "421 Misdirected Request");
         }),
            503, 503, 200, 1 },
        // The load probe used the connection before, so the statement may be about an earlier request.
        { "shed without a request id on a used connection", respondWith([](std::string const&) {
             return wholeResponse("", "X-Comfreysail-Not-Executed: 1\r\n", "503 Service Unavailable");
         }),
            502, 502, 502, 0 },
        { "other target without a request id on a used connection", respondWith([](std::string const&) {
             return wholeResponse("", "X-Comfreysail-Instance-Id: other\r\n", "421 Misdirected Request");
         }),
            502, 502, 502, 0 },
        { "unavailable without saying that it did not run",
            respondWith([](std::string const& head) { return signedResponse(head, "", "503 Service Unavailable"); }),
            502, 502, 502, 0 },
        { "failed", respondWith([](std::string const& head) { return signedResponse(head, "e", "500 Error"); }), 500,
            500, 500, 0 },
        { "extra answer of another request first", respondWith([](std::string const& head) {
             return signedResponse("X-Comfreysail-Request-Id: other\r\n", "foreign") + signedResponse(head, "whole");
         }),
            200, 200, 200, 0 },
    };
}

}

// Guards against requests that are lost or run twice, and against responses that do not belong to the caller's request,
// when a target sends a faulty response.
TEST_CASE_METHOD(EntryFixture, "Entry_EachResponseOfTheOnlyTarget_YieldsTheExpectedStatus")
{
    auto const cases = responseCases();
    auto const example = cases[GENERATE(range(0, 13))];
    CAPTURE(example.name);
    auto& target = addTarget("t1", example.script);
    startDaemon();
    auto const read = call("GET", "/read/1");
    CHECK(read.status() == example.lookupStatus);
    CHECK(read.isComplete);
    if (example.lookupStatus == 200)
        CHECK(read.body == "whole");
    if (example.lookupStatus == 503)
        CHECK(!read.field("Retry-After").empty());
    target.runs = 0;
    std::this_thread::sleep_for(400ms); // After a fault the target gets no requests for 300 ms.
    CHECK(call("POST", "/pay/1", "paper=1").status() == example.orderStatus);
    CHECK(target.runs <= 1);
}

TEST_CASE_METHOD(EntryFixture, "Entry_OrderAtAFaultyTarget_RunsAtMostOnce")
{
    auto const cases = responseCases();
    auto const example = cases[GENERATE(range(0, 13))];
    CAPTURE(example.name);
    auto& faulty = addTarget("t1", example.script);
    auto& other = addTarget("t2", respondComplete);
    other.load = "1,0,2,150"; // Makes the daemon choose the faulty one first.
    startDaemon();
    CHECK(call("POST", "/pay/1", "paper=1").status() == example.orderStatusWithOtherTarget);
    CHECK(faulty.runs == 1);
    CHECK(other.runs == example.orderRunsAtOtherTarget);
}

TEST_CASE_METHOD(EntryFixture, "Entry_LookupAtAFaultyTarget_IsRetriedAtAnother")
{
    auto& faulty = addTarget("t1", respondTruncated);
    auto& other = addTarget("t2", respondComplete);
    other.load = "1,0,2,150";
    startDaemon();
    auto const response = call("GET", "/read/1");
    CHECK(response.status() == 200);
    CHECK(response.body == "whole");
    CHECK(faulty.runs == 1);
    CHECK(other.runs == 1);
}

// A body above the buffered size is passed on as it arrives. Guards against ending it properly towards the caller when
// the target broke off.
TEST_CASE_METHOD(EntryFixture, "Entry_LargeResponseBrokenOff_IsIncompleteForTheCaller")
{
    bool const isChunked = GENERATE(false, true);
    bool const isReset = GENERATE(false, true);
    StopAtScopeEnd const stop(*this);
    addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        std::string const part(size_t { 3 } << 20, 'x');
        auto const framing
            = isChunked ? "Transfer-Encoding: chunked\r\n\r\n600000\r\n" : "Content-Length: 6000000\r\n\r\n";
        connection.send("HTTP/1.1 200 OK\r\n" + signatureFields(head) + framing + part);
        std::this_thread::sleep_for(50ms);
        if (isReset)
            connection.reset();
        return false;
    });
    startDaemon();
    CHECK_FALSE(call("GET", "/files/1").isComplete);
}

// Guards against an error response that reaches its caller as a whole one although it lacks its end: what was buffered
// of it was delivered with the length of that part.
TEST_CASE_METHOD(EntryFixture, "Entry_LargeErrorResponse_IsWholeOrIncompleteForTheCaller")
{
    auto const method = GENERATE(as<std::string> {}, "GET", "POST");
    bool const isChunked = GENERATE(false, true);
    bool const isBrokenOff = GENERATE(false, true);
    CAPTURE(method, isChunked, isBrokenOff);
    std::string const body(size_t { 3 } << 20, 'x');
    StopAtScopeEnd const stop(*this);
    addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        auto const framing = isChunked ? "Transfer-Encoding: chunked\r\n\r\n300000\r\n"
                                       : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        auto const end = isChunked ? "\r\n0\r\n\r\n" : "";
        connection.send("HTTP/1.1 500 Internal Server Error\r\n" + signatureFields(head) + framing);
        connection.send(isBrokenOff ? body.substr(0, body.size() / 2) : body + end);
        return !isBrokenOff;
    });
    startDaemon();
    auto const response = method == "GET" ? call("GET", "/read/1") : call("POST", "/pay/1", "order");
    CHECK(response.status() == 500);
    CHECK(response.isComplete == !isBrokenOff);
    CHECK((isBrokenOff || response.body == body));
}

// A large error response is dropped when the lookup is sent again. It must not be delivered when that send fails too.
TEST_CASE_METHOD(EntryFixture, "Entry_LookupAfterALargeErrorResponse_GetsAWholeResponse")
{
    bool const isOtherWorking = GENERATE(false, true);
    std::string const body(size_t { 3 } << 20, 'x');
    StopAtScopeEnd const stop(*this);
    addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        return connection.send(signedResponse(head, body, "500 Internal Server Error"));
    });
    addTarget("t2", [&](RawConnection& connection, std::string const& head) {
        return connection.send(isOtherWorking ? signedResponse(head, "whole") : std::string()) && isOtherWorking;
    });
    startDaemon();
    for (int count = 0; count < 6; ++count) {
        auto const response = call("GET", "/read/1");
        CHECK(response.isComplete);
        CHECK((response.status() == 500 ? response.body == body : !response.body.starts_with("xx")));
        if (isOtherWorking)
            CHECK((response.status() == 200 || response.status() == 500));
    }
}

// A response without a length ends with its connection. It is complete if that ends in order, and then the caller gets
// it whole and may keep its own connection.
TEST_CASE_METHOD(EntryFixture, "Entry_ResponseWithoutLength_IsDeliveredWhole")
{
    auto const size = GENERATE(as<size_t> {}, 0, 9, size_t { 3 } << 20);
    CAPTURE(size);
    std::string const body(size, 'x');
    StopAtScopeEnd const stop(*this);
    addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        connection.send("HTTP/1.1 200 OK\r\n" + signatureFields(head) + "\r\n" + body);
        return false;
    });
    startDaemon();
    auto connection = daemon().connect();
    for (auto const* id : { "a1", "a2" }) {
        connection.send(requestText("GET", "/read/1", id));
        auto const response = connection.readResponse();
        CHECK(response.status() == 200);
        CHECK(response.isComplete);
        CHECK(response.body == body);
        // Only one of these tells the caller that the body has arrived whole.
        CHECK((response.field("Content-Length").empty() != response.field("Transfer-Encoding").empty()));
    }
}

// Guards against a part of a response that looks like a whole one: a daemon that is killed on the way ends its
// connections as at the end of a body without a length.
TEST_CASE_METHOD(EntryFixture, "Entry_DaemonEndsDuringAResponseWithoutLength_IsIncompleteForTheCaller")
{
    bool const isPlanned = GENERATE(false, true);
    bool const isLarge = GENERATE(false, true);
    CAPTURE(isPlanned, isLarge);
    std::string const part(isLarge ? size_t { 3 } << 20 : 1000, 'x');
    StopAtScopeEnd const stop(*this);
    addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        connection.send("HTTP/1.1 200 OK\r\n" + signatureFields(head) + "\r\n" + part);
        connection.waitForEnd(900ms);
        return false;
    });
    auto& daemon = startDaemon();
    daemon.replaceInSettings("grace_seconds = \"6\"", "grace_seconds = \"0.6\"");
    daemon.hangUp();
    REQUIRE(eventually([&] { return daemon.log().find("event=settings_file_read") != std::string::npos; }));
    auto caller = daemon.connect();
    caller.send(requestText("GET", "/files/1", "a1"));
    std::this_thread::sleep_for(200ms);
    if (isPlanned)
        daemon.terminate();
    else
        daemon.kill();
    auto const response = caller.readResponse();
    CHECK_FALSE((response.status() == 200 && response.isComplete));
    // A body without these is complete wherever its connection ends in order.
    bool const isFramed = !response.field("Content-Length").empty() || response.field("Transfer-Encoding") == "chunked";
    CHECK((response.status() == 0 || isFramed));
}

TEST_CASE_METHOD(EntryFixture, "Entry_ResponseWithoutLengthThatIsReset_IsNotDelivered")
{
    addTarget("t1", [](RawConnection& connection, std::string const& head) {
        connection.send("HTTP/1.1 200 OK\r\n" + signatureFields(head) + "\r\nhalf of it");
        std::this_thread::sleep_for(50ms);
        connection.reset();
        return false;
    });
    startDaemon();
    CHECK(call("GET", "/read/1").status() == 502);
}

// Guards against sending requests to full targets, which may never respond.
TEST_CASE_METHOD(EntryFixture, "Entry_AllTargetsFull_RefusesAtOnceWithRetryAfter")
{
    auto& target = addTarget("t1", respondComplete);
    target.load = "2,4,2,100";
    startDaemon();
    auto const begin = std::chrono::steady_clock::now();
    auto const response = call("POST", "/pay/1", "paper=1");
    CHECK(response.status() == 503);
    CHECK(std::stod(response.field("Retry-After")) > 0);
    CHECK(std::chrono::steady_clock::now() - begin < 300ms);
    CHECK(target.runs == 0);
}

// Guards against requests that outlive the timeout of their route (1 s) when the target does not respond.
TEST_CASE_METHOD(EntryFixture, "Entry_UnresponsiveTarget_TimesOutAfterTheRoutesTimeout")
{
    addTarget("t1", [](RawConnection& connection, std::string const&) {
        connection.waitForEnd(5s);
        return false;
    });
    startDaemon();
    auto const begin = std::chrono::steady_clock::now();
    CHECK(call("POST", "/pay/1", "paper=1").status() == 504);
    auto const used = std::chrono::steady_clock::now() - begin;
    CHECK(used >= 900ms);
    CHECK(used < 1500ms);
}

// Guards against targets that keep working for a caller that disconnected. Unread pipelined requests hide the end of
// the caller's stream from the daemon.
TEST_CASE_METHOD(EntryFixture, "Entry_CallerDisconnects_FreesTheTargetWithinHalfASecond")
{
    // Pipelined lookups run at the target at the same time, and both have to be cancelled.
    auto const requests = GENERATE(1U, 2U);
    CAPTURE(requests);
    std::atomic<unsigned> ended { 0 };
    StopAtScopeEnd const stop(*this);
    auto& target = addTarget("t1", [&](RawConnection& connection, std::string const&) {
        ended += connection.waitForEnd(700ms) ? 1U : 0U;
        return false;
    });
    startDaemon();
    {
        auto connection = daemon().connect();
        for (unsigned number = 1; number <= requests; ++number)
            connection.send(requestText("GET", "/read/" + std::to_string(number), "a" + std::to_string(number)));
        REQUIRE(eventually([&] { return target.runs == requests; }));
    }
    CHECK(eventually([&] { return ended == requests; }, 600ms));
    CHECK(target.runs == requests);
}

TEST_CASE_METHOD(EntryFixture, "Entry_PipelinedRequests_AreAnsweredInOrder")
{
    addTarget("t1", [](RawConnection& connection, std::string const& head) {
        connection.send(signedResponse(head, requestIdOf(head)));
        return true;
    });
    startDaemon();
    auto connection = daemon().connect();
    for (auto const* id : { "a1", "a2", "a3" })
        connection.send(requestText("GET", "/read/1", id));
    for (auto const* id : { "a1", "a2", "a3" })
        CHECK(connection.readResponse().body == id);
}

// Guards against a single failing request that loads all targets: it may run at no more targets than its route allows
// (2).
TEST_CASE_METHOD(EntryFixture, "Entry_LookupFailsAtEachTarget_RunsAtNoMoreTargetsThanTheRouteAllows")
{
    std::vector<EntryTarget*> targets;
    for (auto const* id : { "t1", "t2", "t3", "t4" }) {
        targets.push_back(&addTarget(id, [](RawConnection& connection, std::string const& head) {
            connection.send(signedResponse(head, "failed", "500 Internal Server Error"));
            return true;
        }));
    }
    startDaemon();
    CHECK(call("GET", "/read/1").status() == 500);
    unsigned runs = 0;
    for (auto const* target : targets)
        runs += target->runs;
    CHECK(runs == 2);
}

// Guards against lookups that exceed their latency target, although targets are free, because they wait for the earlier
// ones on their connection.
TEST_CASE_METHOD(EntryFixture, "Entry_PipelinedLookups_AreWorkedOnAtTheSameTime")
{
    constexpr auto workTime = 300ms;
    addTarget("t1", [=](RawConnection& connection, std::string const& head) {
        // The first lookup takes longest, so that the responses of the others have to wait for it.
        std::this_thread::sleep_for(requestIdOf(head) == "a1" ? workTime : workTime / 2);
        connection.send(signedResponse(head, requestIdOf(head)));
        return true;
    });
    startDaemon();
    auto connection = daemon().connect();
    auto const begin = std::chrono::steady_clock::now();
    for (auto const* id : { "a1", "a2", "a3" })
        connection.send(requestText("GET", "/read/1", id));
    for (auto const* id : { "a1", "a2", "a3" })
        CHECK(connection.readResponse().body == id);
    CHECK(std::chrono::steady_clock::now() - begin < 2 * workTime);
}

// Guards against refusing a request while its only target is free: the response to the load probe came later than one
// round of probes lasts.
TEST_CASE_METHOD(EntryFixture, "Entry_LoadResponseAfterTheRound_IsWaitedFor")
{
    auto& target = addTarget("t1", respondComplete);
    target.loadDelayMilliseconds = 120;
    startDaemon();
    for (unsigned index = 0; index < 5; ++index) {
        CHECK(call("GET", "/read/1").status() == 200);
        CHECK(call("POST", "/pay/1", "order").status() == 200);
    }
}

// Guards against refusing the later ones of requests that ask a target at the same time: their load reports arrive
// together, and the earlier requests take the room that these show.
TEST_CASE_METHOD(EntryFixture, "Entry_LoadResponsesArriveTogether_AllLookupsAreServed")
{
    auto& target = addTarget("t1", respondComplete);
    target.loadDelayMilliseconds = 20;
    startDaemon();
    for (unsigned round = 0; round < 10; ++round) {
        auto connection = daemon().connect();
        std::string requests;
        for (auto const* id : { "a", "b", "c", "d" })
            requests += requestText("GET", "/read/1", id + std::to_string(round));
        connection.send(requests);
        for (unsigned index = 0; index < 4; ++index)
            CHECK(connection.readResponse().status() == 200);
    }
}

// Guards against orders that run twice: the response before an order may close the connection, after which the caller
// sends the order again.
TEST_CASE_METHOD(EntryFixture, "Entry_OrderPipelinedBehindAClosingResponse_DoesNotRun")
{
    bool const isBrokenOff = GENERATE(false, true);
    CAPTURE(isBrokenOff);
    std::string const part(size_t { 2 } << 20, 'x');
    auto& target = addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        std::this_thread::sleep_for(100ms);
        connection.send("HTTP/1.1 200 OK\r\nX-Comfreysail-Request-Id: " + requestIdOf(head)
            + "\r\nX-Comfreysail-Backend-Signature: s\r\nContent-Length: "
            + (isBrokenOff ? "9000000\r\n\r\n" + part : "4\r\n\r\nbody"));
        return !isBrokenOff;
    });
    StopAtScopeEnd const stop(*this);
    startDaemon();
    auto connection = daemon().connect();
    auto first = requestText("GET", "/files/1", "a1");
    if (!isBrokenOff)
        first.insert(first.find("\r\n") + 2, "Connection: close\r\n");
    connection.send(first);
    connection.send(requestText("POST", "/pay/1", "a2"));
    auto const response = connection.readResponse();
    CHECK(response.status() == 200);
    CHECK(response.isComplete == !isBrokenOff);
    std::this_thread::sleep_for(300ms);
    for (auto const& head : target.server->heads())
        CHECK_THAT(head, !Catch::Matchers::Contains("X-Comfreysail-Request-Id: a2"));
}

// The counterpart: a response without a length does not close the caller's connection, so the order behind it runs once
// and is answered.
TEST_CASE_METHOD(EntryFixture, "Entry_OrderPipelinedBehindAResponseWithoutLength_RunsOnce")
{
    StopAtScopeEnd const stop(*this);
    auto& target = addTarget("t1", [](RawConnection& connection, std::string const& head) {
        std::this_thread::sleep_for(100ms);
        connection.send("HTTP/1.1 200 OK\r\n" + signatureFields(head) + "Connection: close\r\n\r\nbody");
        return false;
    });
    startDaemon();
    auto connection = daemon().connect();
    connection.send(requestText("GET", "/read/1", "a1"));
    connection.send(requestText("POST", "/pay/1", "a2"));
    for (auto const* id : { "a1", "a2" }) {
        auto const response = connection.readResponse();
        CHECK(response.field("X-Comfreysail-Request-Id") == id);
        CHECK(response.body == "body");
    }
    CHECK(target.runs == 2);
}

// The target receives the remaining time of the caller's deadline, its own id, and the unchanged request.
TEST_CASE_METHOD(EntryFixture, "Entry_Request_ReachesTheTargetUnchanged")
{
    auto& target = addTarget("t1", respondComplete);
    startDaemon();
    auto connection = daemon().connect();
    connection.send("POST /pay/x?q=%20a HTTP/1.1\r\nHost: orders.test\r\nX-Comfreysail-Request-Id: a1\r\n"
                    "X-Comfreysail-Deadline-Ms: 700\r\nX-Other: kept\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "3\r\nabc\r\n0\r\n\r\n");
    CHECK(connection.readResponse().status() == 200);
    auto const head = target.server->heads().back();
    CHECK_THAT(head, Catch::Matchers::StartsWith("POST /pay/x?q=%20a HTTP/1.1\r\n"));
    CHECK_THAT(head, Catch::Matchers::Contains("X-Other: kept\r\n"));
    CHECK_THAT(head, Catch::Matchers::Contains("X-Comfreysail-Request-Id: a1\r\n"));
    CHECK_THAT(head, Catch::Matchers::Contains("X-Comfreysail-Expect-Instance: t1\r\n"));
    CHECK_THAT(head, Catch::Matchers::Contains("Content-Length: 3\r\n"));
    auto const deadline = head.find("X-Comfreysail-Deadline-Ms: ") + 27;
    auto const left = std::stoi(head.substr(deadline));
    CHECK(left <= 700);
    CHECK(left > 400);
}

// From the metrics alone, on-call engineers have to distinguish slow targets from slow target selection, and to see
// retries, stale rows and traffic between zones.
TEST_CASE_METHOD(EntryFixture, "Entry_Metrics_ReportTimesSendsAndBytes")
{
    auto& target = addTarget("t1", [](RawConnection& connection, std::string const& head) {
        std::this_thread::sleep_for(200ms);
        connection.send(signedResponse(head, "whole"));
        return true;
    });
    startDaemon();
    CHECK(call("GET", "/read/1").status() == 200);
    CHECK(call("POST", "/pay/1", "paper=1").status() == 200);
    CHECK(target.runs == 2);
    auto const metrics = daemon().admin("/metrics").body;
    CAPTURE(metrics);
    auto const valueOf = [&](std::string const& series) {
        auto const begin = metrics.find("\n" + series + " ");
        return begin == std::string::npos ? -2 : std::stod(metrics.substr(begin + 1 + series.size()));
    };
    CHECK(valueOf("comfreysail_target_seconds_sum{class=\"lookup\"}") >= 0.2);
    CHECK(valueOf("comfreysail_placement_seconds_sum{class=\"lookup\"}") < 0.2);
    CHECK(valueOf("comfreysail_request_seconds_count{class=\"order\"}") == 1);
    CHECK(valueOf("comfreysail_sends_total{class=\"order\",send=\"first\"}") == 1);
    CHECK(valueOf("comfreysail_sends_total{class=\"order\",send=\"repeated\"}") == 0);
    // The response body "whole" twice (2 * 5 bytes) and the request body "paper=1" (7 bytes).
    CHECK(valueOf("comfreysail_target_body_bytes_total{zone=\"own\"}") == 17);
    CHECK(valueOf("comfreysail_target_body_bytes_total{zone=\"other\"}") == 0);
    CHECK(valueOf("comfreysail_retry_tokens_left{service=\"orders\"}") >= 0);
    CHECK(valueOf("comfreysail_settings_revision") == 1);
    CHECK(valueOf("comfreysail_rows_age_milliseconds") >= 0);
    CHECK(valueOf("comfreysail_rows_age_milliseconds") < 2000);
    CHECK(valueOf("comfreysail_targets") == 1);
}

// Guards against requests that block on a full log pipe when the reader of the log stops reading.
TEST_CASE_METHOD(EntryFixture, "Entry_LogIsNotRead_RequestsAreAnswered")
{
    addTarget("t1", respondComplete);
    DaemonOptions options;
    options.logsIntoFullPipe = true;
    startDaemon(options);
    auto const begin = std::chrono::steady_clock::now();
    for (int count = 0; count < 50; ++count)
        REQUIRE(call("GET", "/read/1").status() == 200);
    CHECK(std::chrono::steady_clock::now() - begin < 5s);
}

// The targets of some services do not report load. Guards against one response without it stopping the load probes of a
// service whose targets do report load: the daemon would then send to full targets.
TEST_CASE_METHOD(EntryFixture, "Entry_OneResponseWithoutLoad_DoesNotStopLoadProbes")
{
    auto& target = addTarget("t1", [](RawConnection& connection, std::string const& head) {
        connection.send(wholeResponse("whole", signatureFields(head) + "X-Comfreysail-Backend-Load: 1,0,2,100\r\n"));
        return true;
    });
    target.load = "";
    startDaemon();
    CHECK(call("GET", "/read/1").status() == 200);
    target.load = "2,4,2,100";
    CHECK(call("GET", "/read/2").status() == 503);
    CHECK(target.runs == 1);
}
