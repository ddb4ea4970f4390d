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
