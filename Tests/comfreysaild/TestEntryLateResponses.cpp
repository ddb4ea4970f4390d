#include "EntryFixture.h"

#include <catch2/catch.hpp>
#include <map>
#include <mutex>
#include <thread>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

using MakeCopy = std::function<std::string(std::string const& earlierHead)>;

std::string shedResponse(std::string const& fields)
{
    return wholeResponse("", fields + "X-Comfreysail-Not-Executed: 1\r\n", "503 Service Unavailable");
}

std::string idField(std::string const& head) { return "X-Comfreysail-Request-Id: " + requestIdOf(head) + "\r\n"; }

struct CopyCase {
    std::string name;
    MakeCopy copy; ///< Makes the bytes that the target sends before its response to the next request on the connection.
    bool mayBeUnknown { false }; ///< The copy cannot be told from a response to the next request.
};

std::vector<CopyCase> copyCases()
{
    return {
        { "complete", [](auto const& head) { return signedResponse(head, "late"); } },
        { "failed", [](auto const& head) { return signedResponse(head, "late", "500 Error"); } },
        { "shed", [](auto const& head) { return shedResponse(idField(head)); } },
        { "shed without an id", [](auto const&) { return shedResponse({}); }, true },
        { "misdirected", [](auto const& head) { return wholeResponse("", idField(head), "421 Misdirected Request"); } },
        { "misdirected without an id", [](auto const&) { return wholeResponse("", "", "421 Misdirected Request"); },
            true },
        { "refused without an id",
            [](auto const&) { return wholeResponse("", "X-Comfreysail-Not-Executed: 1\r\n", "400 Bad Request"); },
            true },
        { "behind an interim response",
            [](auto const& head) { return "HTTP/1.1 103 Early Hints\r\n\r\n" + signedResponse(head, "late"); } },
        { "of a load probe",
            [](auto const&) { return wholeResponse("", "X-Comfreysail-Backend-Load: 0,0,2,100\r\n"); } },
        { "not modified", [](auto const& head) { return "HTTP/1.1 304 Not Modified\r\n" + idField(head) + "\r\n"; } },
        { "two copies", [](auto const& head) { return signedResponse(head, "late") + signedResponse(head, "late"); } },
        { "chunked",
            [](auto const& head) {
                return "HTTP/1.1 200 OK\r\n" + idField(head)
                    + "X-Comfreysail-Backend-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n";
            } },
    };
}

/// A target that sends a late copy of the response to an earlier request in front of its next response on the same
/// connection.
class CopyingTarget {
public:
    explicit CopyingTarget(MakeCopy copy)
        : m_copy(std::move(copy))
    {
    }

    bool respond(RawConnection& connection, std::string const& head)
    {
        auto const earlier = exchangeHead(connection, head);
        // In parts, since a copy may arrive in several packets.
        auto const copy = earlier.empty() ? std::string() : m_copy(earlier);
        connection.send(copy.substr(0, copy.size() / 2));
        std::this_thread::sleep_for(10ms);
        connection.send(copy.substr(copy.size() / 2));
        std::this_thread::sleep_for(50ms);
        connection.send(signedResponse(head, requestIdOf(head)));
        return true;
    }

    bool respondToProbe(RawConnection& connection, std::string const& response)
    {
        std::string earlier;
        {
            std::lock_guard const lock(m_mutex);
            earlier = m_earlier[&connection];
        }
        connection.send((earlier.empty() ? std::string() : m_copy(earlier)) + response);
        return true;
    }

private:
    std::string exchangeHead(RawConnection const& connection, std::string const& head)
    {
        std::lock_guard const lock(m_mutex);
        return std::exchange(m_earlier[&connection], head);
    }

    MakeCopy m_copy;
    std::mutex m_mutex;
    std::map<RawConnection const*, std::string> m_earlier;
};

}

// Guards against taking a late second copy of an earlier response for the response to the next request on the
// connection: its caller would get another request's answer, or an order that runs would be reported as not run and
// sent again.
TEST_CASE_METHOD(EntryFixture, "Entry_LateCopyOfAnEarlierResponse_IsNotTheResponseToTheNextRequest")
{
    auto const cases = copyCases();
    auto const example = cases[GENERATE(range(0, 12))];
    bool const isOrder = GENERATE(false, true);
    CAPTURE(example.name, isOrder);
    CopyingTarget copying(example.copy);
    StopAtScopeEnd const stop(*this);
    auto& target
        = addTarget("t1", [&copying](auto& connection, auto const& head) { return copying.respond(connection, head); });
    auto& other = addTarget("t2", [](RawConnection& connection, std::string const& head) {
        connection.send(signedResponse(head, requestIdOf(head)));
        return true;
    });
    other.load = "1,0,2,300"; // Makes the daemon choose the other one first.
    startDaemon();
    CHECK(call("GET", "/read/1").status() == 200);
    target.runs = 0;
    auto const response = isOrder ? call("POST", "/pay/1", "order") : call("GET", "/read/1");
    CAPTURE(response.head);
    CHECK((response.status() == 200 || (example.mayBeUnknown && response.status() == 502)));
    if (response.status() == 200)
        CHECK(response.body == requestIdOf(response.head));
    CHECK(target.runs == 1);
    if (isOrder)
        CHECK(other.runs == 0);
}

// Guards against an order that is answered 503 although it runs: after a refusal with Retry-After it goes to the same
// target again with the same id, and a late copy of the refusal must not be taken for the response to the second send.
TEST_CASE_METHOD(EntryFixture, "Entry_LateCopyOfAnOrdersOwnRefusal_IsNotTheResponseToItsNextSend")
{
    std::mutex mutex;
    RawConnection const* refusing = nullptr;
    std::string refusal;
    auto& target = addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        std::lock_guard const lock(mutex);
        if (!refusing) {
            refusing = &connection;
            refusal = shedResponse(idField(head) + "Retry-After: 0.01\r\n");
            return connection.send(refusal);
        }
        if (refusing == &connection)
            connection.send(refusal);
        return connection.send(signedResponse(head, "whole"));
    });
    StopAtScopeEnd const stop(*this);
    startDaemon();
    auto const response = call("POST", "/pay/1", "order");
    CAPTURE(response.head);
    CHECK(response.status() == 200);
    CHECK(response.body == "whole");
    CHECK(target.runs == 2);
}

// The same if the client sends the order again under its id: the copy belongs to the first request.
TEST_CASE_METHOD(EntryFixture, "Entry_ClientSendsARefusedOrderAgainUnderItsId_GetsTheResponseToItsSecondRequest")
{
    std::mutex mutex;
    RawConnection const* refusing = nullptr;
    std::string refusal;
    auto& target = addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        std::lock_guard const lock(mutex);
        if (!refusing) {
            refusing = &connection;
            refusal = shedResponse(idField(head));
            return connection.send(refusal);
        }
        if (refusing == &connection)
            connection.send(refusal);
        return connection.send(signedResponse(head, "whole"));
    });
    StopAtScopeEnd const stop(*this);
    startDaemon();
    auto const order = requestText("POST", "/pay/1", "same-id", "order");
    CHECK(daemon().call(order).status() == 503);
    auto const response = daemon().call(order);
    CAPTURE(response.head);
    CHECK(response.body == "whole");
    CHECK(target.runs == 2);
}

// The same copy in front of the response to a load probe must not be taken for the probe's response, and the probe's
// response not for that of the next request.
TEST_CASE_METHOD(EntryFixture, "Entry_LateCopyBeforeALoadProbe_DoesNotAnswerTheProbe")
{
    CopyingTarget copying([](auto const& head) {
        return wholeResponse(
            "", idField(head) + "X-Comfreysail-Instance-Id: other\r\nX-Comfreysail-Backend-Load: 0,0,2,100\r\n");
    });
    StopAtScopeEnd const stop(*this);
    auto& target
        = addTarget("t1", [&copying](auto& connection, auto const& head) { return copying.respond(connection, head); });
    target.loadScript = [&](RawConnection& connection, std::string const&) {
        return copying.respondToProbe(connection, target.loadResponse());
    };
    startDaemon();
    for (unsigned index = 0; index < 6; ++index) {
        auto const response = call(index % 2 == 0 ? "GET" : "POST", index % 2 == 0 ? "/read/1" : "/pay/1");
        CHECK(response.status() == 200);
        CHECK(response.body == requestIdOf(response.head));
    }
}

// The copy may arrive while a large body is still being sent. The upload gets its own response, runs once, and no byte
// of its body is taken for another request.
TEST_CASE_METHOD(EntryFixture, "Entry_LateCopyWhileALargeBodyIsSent_UploadGetsItsOwnResponse")
{
    constexpr size_t bodyBytes = 900'000;
    std::string earlier;
    auto const& target = addTarget("t1", [&earlier](RawConnection& connection, std::string const& head) {
        if (head.starts_with("GET")) {
            earlier = signedResponse(head, "earlier");
            return connection.send(earlier);
        }
        connection.send(earlier);
        std::this_thread::sleep_for(50ms);
        connection.readExactly(bodyBytes);
        connection.send(signedResponse(head, "whole"));
        return false;
    });
    StopAtScopeEnd const stop(*this);
    startDaemon();
    CHECK(call("GET", "/read/1").body == "earlier");
    CHECK(call("POST", "/pay/1", std::string(bodyBytes, 'x')).body == "whole");
    CHECK(target.runs == 2);
    CHECK(call("GET", "/read/1").body == "earlier");
}
