#include "EntryFixture.h"

#include <catch2/catch.hpp>
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

}

// Guards against more requests to a target in need than its part of the limit that it named, and against a limit that
// stays.
TEST_CASE_METHOD(EntryFixture, "Entry_TargetNamesALimit_GetsNoMoreUntilTheLimitEnds")
{
    std::atomic<bool> isLimited { true };
    auto& limited = addTarget("t1", respondWith([&] { return std::string(isLimited ? "Server-Limit: 2\r\n" : ""); }));
    auto& other = addTarget("t2", respondWith([] { return std::string(); }));
    StopAtScopeEnd const stop(*this);
    other.load = "1,0,16,130"; // Makes the daemon choose the limited one while it may.
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
