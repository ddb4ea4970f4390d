#include "EntryFixture.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

constexpr size_t uploadBytes = 900'000;
// Room for one upload of this size at a time.
constexpr auto smallMemory = "memory_mb = \"6\"";

std::string uploadHead(std::string const& id, std::string const& framing, unsigned milliseconds = 3000)
{
    return "POST /pay/1 HTTP/1.1\r\nHost: orders.test\r\nX-Comfreysail-Request-Id: " + id
        + "\r\nX-Comfreysail-Deadline-Ms: " + std::to_string(milliseconds) + "\r\n" + framing + "\r\n\r\n";
}

std::string lengthField(size_t length) { return "Content-Length: " + std::to_string(length); }

bool respondWhole(RawConnection& connection, std::string const& head)
{
    return connection.send(signedResponse(head, "whole"));
}

}

// A caller that leaves midway, or that sends less than it announced, has not sent a request. Nothing may run, and the
// memory of its body must be free for others.
TEST_CASE_METHOD(EntryFixture, "Entry_UploadThatEndsMidway_RunsNowhereAndFreesItsMemory")
{
    auto const framing = GENERATE(as<std::string> {}, lengthField(uploadBytes), "Transfer-Encoding: chunked");
    bool const isReset = GENERATE(true, false);
    CAPTURE(framing, isReset);
    auto& target = addTarget("t1", respondWhole);
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon({ .settings = smallMemory });
    auto leaving = daemon.connect();
    bool const isChunked = framing.starts_with("Transfer");
    std::string const half(uploadBytes / 4, 'x');
    REQUIRE(leaving.send(uploadHead("a1", framing) + (isChunked ? "36ee8\r\n" : "") + half));
    std::this_thread::sleep_for(200ms);
    if (isReset)
        leaving.reset();
    else
        leaving.close();
    auto next = daemon.connect();
    REQUIRE(next.send(uploadHead("a2", lengthField(uploadBytes)) + std::string(uploadBytes, 'y')));
    CHECK(next.readResponse().body == "whole");
    CHECK(target.runs == 1);
}

// A target may respond before it has read the whole body. Its response is delivered, the body is not sent again, and
// the next request does not meet the rest of the body on that connection.
TEST_CASE_METHOD(EntryFixture, "Entry_TargetRespondsBeforeTheBodyEnds_ResponseIsDeliveredOnce")
{
    auto const status = GENERATE(as<std::string> {}, "200 OK", "413 Payload Too Large", "500 Internal Server Error");
    CAPTURE(status);
    std::string rest;
    auto& target = addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        if (!head.starts_with("POST"))
            return connection.send(signedResponse(head, "read"));
        connection.send(signedResponse(head, "early", status));
        // Reads nothing more for a while, and then the rest of the body.
        std::this_thread::sleep_for(300ms);
        rest = connection.readExactly(uploadBytes);
        return false;
    });
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon();
    auto caller = daemon.connect();
    REQUIRE(caller.send(uploadHead("b1", lengthField(uploadBytes)) + std::string(uploadBytes, 'x')));
    auto const response = caller.readResponse();
    CHECK(response.status() == std::stoul(status));
    CHECK(response.body == "early");
    CHECK(call("GET", "/read/1").body == "read");
    CHECK(target.runs == 2);
    stopAll();
    CHECK(rest.find_first_not_of('x') == std::string::npos);
}

// A target that ends its connection within the body, or after it, may have acted on what it read. The upload must not
// be sent again, and its caller must not be told that it did not run.
TEST_CASE_METHOD(EntryFixture, "Entry_TargetEndsDuringAnUpload_OutcomeIsUnknownAndNothingIsSentAgain")
{
    auto const readBytes = GENERATE(size_t { 0 }, size_t { 100'000 }, uploadBytes);
    CAPTURE(readBytes);
    auto const script = [readBytes](RawConnection& connection, std::string const&) {
        connection.readExactly(readBytes);
        connection.reset();
        return false;
    };
    auto const& first = addTarget("t1", script);
    auto const& second = addTarget("t2", script);
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon();
    auto caller = daemon.connect();
    REQUIRE(caller.send(uploadHead("c1", lengthField(uploadBytes)) + std::string(uploadBytes, 'x')));
    auto const response = caller.readResponse();
    CHECK(response.status() == 502);
    CHECK(response.field("Retry-After").empty());
    CHECK(first.runs + second.runs == 1);
}

// Bytes behind a body are the next request on the connection. They must not become a part of the upload.
TEST_CASE_METHOD(EntryFixture, "Entry_BytesBehindAnUpload_AreNotPartOfIt")
{
    std::string body;
    addTarget("t1", [&body](RawConnection& connection, std::string const& head) {
        if (head.starts_with("POST"))
            body = connection.readExactly(4);
        connection.send(signedResponse(head, "whole"));
        return false;
    });
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon();
    auto caller = daemon.connect();
    REQUIRE(caller.send(uploadHead("d1", lengthField(4)) + "dataGARBAGE\r\n\r\n"));
    CHECK(caller.readResponse().body == "whole");
    CHECK(caller.readResponse().status() == 400);
    CHECK(caller.waitForEnd(3s));
    CHECK(body == "data");
}

// A planned stop while a body arrives must not cut the upload off: its caller would not know whether it ran.
TEST_CASE_METHOD(EntryFixture, "Entry_SigtermWhileABodyArrives_UploadIsServed")
{
    bool const isTwice = GENERATE(false, true);
    bool const isStoreDown = GENERATE(false, true);
    CAPTURE(isTwice, isStoreDown);
    auto& target = addTarget("t1", respondWhole);
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon({ .balancerLagMilliseconds = 200 });
    if (isStoreDown)
        setFaults(R"({"mode":"down"})");
    auto caller = daemon.connect();
    REQUIRE(caller.send(uploadHead("e1", lengthField(uploadBytes), 4000) + std::string(uploadBytes - 1, 'x')));
    std::this_thread::sleep_for(100ms);
    daemon.terminate();
    std::this_thread::sleep_for(400ms);
    if (isTwice)
        daemon.terminate();
    std::this_thread::sleep_for(100ms);
    REQUIRE(caller.send("x"));
    CHECK(caller.readResponse().body == "whole");
    CHECK(target.runs == 1);
    CHECK(daemon.waitForExit() == 0);
}
