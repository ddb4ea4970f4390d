#include "EntryFixture.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

constexpr size_t uploadBytes = 900'000;
// The memory of the VM for bodies is a quarter of this, of which large bodies use three quarters: room for one upload.
constexpr auto smallMemory = "memory_mb = \"6\"";

std::string uploadHead(std::string const& id, size_t length, unsigned milliseconds)
{
    return "POST /pay/1 HTTP/1.1\r\nHost: orders.test\r\nX-Comfreysail-Request-Id: " + id
        + "\r\nX-Comfreysail-Deadline-Ms: " + std::to_string(milliseconds)
        + "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

bool respondWhole(RawConnection& connection, std::string const& head)
{
    return connection.send(signedResponse(head, "whole"));
}

}

// Uploads at the same time exceeded the memory of a small VM, which ends the daemon and all requests in it. An upload
// without memory is not read until an earlier one has ended, and short requests do not wait for it.
TEST_CASE_METHOD(EntryFixture, "Entry_UploadsBeyondTheMemoryForBodies_WaitAndAreServed")
{
    auto& target = addTarget("t1", respondWhole);
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon({ .settings = smallMemory });
    auto const before = daemon.residentKilobytes();
    auto first = daemon.connect();
    REQUIRE(first.send(uploadHead("a1", uploadBytes, 4000) + std::string(uploadBytes - 1, 'x')));
    std::this_thread::sleep_for(200ms);
    auto second = daemon.connect();
    second.setTimeout(5s);
    std::thread sender([&] { second.send(uploadHead("a2", uploadBytes, 4000) + std::string(uploadBytes, 'y')); });
    std::this_thread::sleep_for(200ms);
    CHECK(call("POST", "/pay/1", "order").body == "whole");
    CHECK(target.runs == 1);
    CHECK(daemon.residentKilobytes() < before + 2500);
    first.send("x");
    CHECK(first.readResponse().body == "whole");
    CHECK(second.readResponse().body == "whole");
    sender.join();
    CHECK(target.runs == 3);
}

// An upload that gets no memory is refused while its caller still has time to come back, and it has not run.
TEST_CASE_METHOD(EntryFixture, "Entry_UploadWithoutMemoryForItsBody_IsRefusedInTimeAsNotRun")
{
    auto& target = addTarget("t1", respondWhole);
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon({ .settings = smallMemory });
    auto first = daemon.connect();
    REQUIRE(first.send(uploadHead("b1", uploadBytes, 4000) + std::string(uploadBytes - 1, 'x')));
    std::this_thread::sleep_for(200ms);
    auto second = daemon.connect();
    auto const start = std::chrono::steady_clock::now();
    REQUIRE(second.send(uploadHead("b2", uploadBytes, 1600)));
    auto const refused = second.readResponse();
    CHECK(refused.status() == 503);
    CHECK_FALSE(refused.field("Retry-After").empty());
    CHECK(std::chrono::steady_clock::now() - start < 800ms);
    CHECK(target.runs == 0);
    // Its memory is free for others once a caller has left midway.
    first.close();
    auto third = daemon.connect();
    REQUIRE(third.send(uploadHead("b3", uploadBytes, 4000) + std::string(uploadBytes, 'z')));
    CHECK(third.readResponse().body == "whole");
    CHECK(target.runs == 1);
}

// A body of unknown length that grows beyond the memory is refused as not run, and leaves the memory to others.
TEST_CASE_METHOD(EntryFixture, "Entry_ChunkedUploadBeyondTheMemory_IsRefusedAsNotRun")
{
    auto& target = addTarget("t1", respondWhole);
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon({ .settings = smallMemory });
    auto first = daemon.connect();
    REQUIRE(first.send(uploadHead("c1", uploadBytes, 4000) + std::string(uploadBytes - 1, 'x')));
    std::this_thread::sleep_for(200ms);
    auto chunked = daemon.connect();
    chunked.send("POST /pay/1 HTTP/1.1\r\nHost: orders.test\r\nX-Comfreysail-Request-Id: c2\r\n"
                 "X-Comfreysail-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::string const chunk = "8000\r\n" + std::string(0x8000, 'y') + "\r\n";
    for (unsigned count = 0; count < 9; ++count)
        chunked.send(chunk);
    auto const refused = chunked.readResponse();
    CHECK(refused.status() == 503);
    CHECK(target.runs == 0);
    first.send("x");
    CHECK(first.readResponse().body == "whole");
}
