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
