#include "EntryFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

struct EndlessRequest {
    std::string name;
    std::string start;
    std::string repeated;
};

std::string postHead(std::string const& fields)
{
    return "POST /pay/1 HTTP/1.1\r\nHost: orders.test\r\nX-Comfreysail-Request-Id: a1\r\n" + fields;
}

std::vector<EndlessRequest> endlessRequests()
{
    auto const chunked = postHead("Transfer-Encoding: chunked\r\n\r\n");
    return {
        { "empty lines", "", "\r\n" },
        { "request line", "GET /", "a" },
        { "header line", postHead("X-A: "), "a" },
        { "header lines", postHead(""), "X-A: b\r\n" },
        { "chunk size line", chunked, "0" },
        { "chunk extension", chunked + "1;", "a" },
        { "chunks", chunked, "400\r\n" + std::string(1024, 'x') + "\r\n" },
        { "trailer line", chunked + "0\r\nX-A: ", "a" },
        { "trailer lines", chunked + "0\r\n", "X-A: b\r\n" },
    };
}

}

// A caller that never ends its request must not take memory or time from others, and nothing of it may run.
TEST_CASE_METHOD(EntryFixture, "Entry_RequestWithoutEnd_IsEndedWithFlatMemoryAndOthersAreServed")
{
    // The operators' limit for a body is 1 MB; while the buffer grows, the body is there twice.
    constexpr size_t maxGrowthKilobytes = size_t { 2 } * 1'000'000 / 1024;
    auto const& target = addTarget("t1", [](RawConnection& connection, std::string const& head) {
        return connection.send(signedResponse(head, "whole"));
    });
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon();
    CHECK(call("GET", "/read/1").body == "whole");
    auto const before = daemon.residentKilobytes();
    for (auto const& request : endlessRequests()) {
        CAPTURE(request.name);
        std::string block;
        while (block.size() < 64'000)
            block += request.repeated;
        auto endless = daemon.connect();
        endless.setTimeout(200ms);
        auto const runsBefore = target.runs.load();
        bool isEnded = !endless.send(request.start);
        auto const start = std::chrono::steady_clock::now();
        // The header timeout of the settings is 3 s.
        size_t most = before;
        while (!isEnded && std::chrono::steady_clock::now() - start < 4s) {
            isEnded = !endless.send(block);
            most = std::max(most, daemon.residentKilobytes());
        }
        CHECK(isEnded);
        CHECK(most < before + maxGrowthKilobytes);
        CHECK(target.runs == runsBefore);
        CHECK(daemon.residentKilobytes() < before + maxGrowthKilobytes);
        CHECK(call("GET", "/read/1").body == "whole");
    }
}
