#include <Support/DaemonProcess.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <sys/socket.h>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

std::string const order = request("POST", "/orders", {}, "paper=1");
std::string const lookup = request("GET", "/orders/7");

struct Refusal {
    unsigned status;
    std::string error;
    std::string outcome;
};

struct FaultRow {
    std::string name;
    ScriptedTarget::Script script;
    Refusal refusal;
};

bool silent(RawConnection& connection, std::string const&)
{
    connection.waitForEnd(3s);
    return false;
}

ScriptedTarget::Script sending(std::string const& bytes, bool keepOpen = false)
{
    return [=](RawConnection& connection, std::string const&) {
        connection.send(bytes);
        return keepOpen;
    };
}

/// Target faults before a complete response, and the error that the caller of an order must get. The outcome must be
/// "not-run" only if that is certain.
std::vector<FaultRow> faultRows()
{
    std::string const head = "HTTP/1.1 200 OK\r\n";
    Refusal const lost { 502, "connection_lost", "unknown" };
    Refusal const invalid { 502, "invalid_target_answer", "unknown" };
    return {
        { "reset after the head",
            [](RawConnection& connection, std::string const&) {
                connection.reset();
                return false;
            },
            lost },
        { "closed after the head", sending(""), lost },
        { "half a response head", sending("HTTP/1.1 200 OK\r\nX:"), lost },
        { "short body", sending(head + "Content-Length: 100\r\n\r\nabc"), lost },
        { "silent", silent, { 504, "deadline_exceeded", "unknown" } },
        { "not HTTP", sending("hello\r\n\r\n"), invalid },
        { "no length", sending(head + "\r\nabc"), invalid },
        { "two lengths", sending(head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc"), invalid },
        { "both lengths", sending(head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"), invalid },
        { "switches protocols", sending("HTTP/1.1 101 Switching Protocols\r\n\r\n"), invalid },
        { "sheds the request",
            sending(wholeResponse("busy", "Comfreysail-Outcome: not-run\r\n", "503 Service Unavailable"), true),
            { 503, "target_shed_request", "not-run" } },
    };
}

}

TEST_CASE("Order_TargetFails_OutcomeIsCorrectAndSentOnce", "[RequestPath]")
{
    for (auto const& row : faultRows()) {
        INFO(row.name);
        ScriptedTarget target(row.script);
        bool const isShed = row.refusal.outcome == "not-run";
        DaemonProcess const daemon({ .targets = { { target.port() } }, .serviceSettings = "timeout_ms = 400" });
        auto const response = daemon.call(order);
        CHECK(response.status() == row.refusal.status);
        CHECK(response.field("Comfreysail-Error") == row.refusal.error);
        CHECK(response.field("Comfreysail-Outcome") == row.refusal.outcome);
        // A second send after an unknown outcome would be a duplicate order.
        CHECK((isShed || target.requests() == 1));
    }
}

// Guards against a late second copy of an earlier response that is taken for the response to the next request on the
// connection.
TEST_CASE("Request_FollowsALateCopyOfAnEarlierResponse_GetsItsOwnResponse", "[RequestPath]")
{
    bool const isOrder = GENERATE(false, true);
    CAPTURE(isOrder);
    std::string earlier;
    ScriptedTarget target([&earlier](RawConnection& connection, std::string const& head) {
        std::string const name = "Comfreysail-Request-Id: ";
        auto const id = head.substr(head.find(name) + name.size(), 32);
        connection.send(earlier);
        earlier = wholeResponse("response to " + id, name + id + "\r\n");
        return connection.send(earlier);
    });
    DaemonProcess const daemon({ .targets = { { target.port() } } });
    CHECK(daemon.call(lookup).status() == 200);
    auto const response = daemon.call(isOrder ? order : lookup);
    CHECK(response.status() == 200);
    CHECK(response.body == "response to " + response.field("Comfreysail-Request-Id"));
    CHECK(target.requests() == 2);
}

TEST_CASE("Order_ConnectRefused_IsNotRun", "[RequestPath]")
{
    // The port stays bound without listening, so that no other process can take it.
    auto const listener = listenOnFreePort();
    ::shutdown(listener.descriptor, SHUT_RDWR);
    DaemonProcess const daemon({ .targets = { { listener.port } } });
    auto const response = daemon.call(order);
    CHECK(response.status() == 502);
    CHECK(response.field("Comfreysail-Error") == "connect_failed");
    CHECK(response.field("Comfreysail-Outcome") == "not-run");
}

TEST_CASE("Refusal_AfterEarlierSend_OutcomeIsUnknown", "[RequestPath]")
{
    // PUT is idempotent here, so it is sent again. The first target may have run it, regardless of the second response.
    std::atomic<unsigned> sends { 0 };
    auto const script = [&](RawConnection& connection, std::string const&) {
        if (++sends == 1)
            return false;
        connection.send(wholeResponse("busy", "Comfreysail-Outcome: not-run\r\n", "503 Service Unavailable"));
        return false;
    };
    ScriptedTarget first(script);
    ScriptedTarget second(script);
    ScriptedTarget third(script);
    DaemonProcess const daemon({ .targets = { { first.port() }, { second.port() }, { third.port() } } });
    auto const response = daemon.call(request("PUT", "/orders/7"));
    CHECK(sends > 1);
    CHECK(response.field("Comfreysail-Outcome") == "unknown");
}

TEST_CASE("Lookup_FirstTargetFails_GetsWholeResponse", "[RequestPath]")
{
    for (auto const& row : faultRows()) {
        if (row.name == "silent")
            continue; // Only the deadline ends this request, and then there is no time for a second send.
        INFO(row.name);
        std::atomic<unsigned> sends { 0 };
        auto const script = [&](RawConnection& connection, std::string const& head) {
            if (++sends == 1)
                return row.script(connection, head);
            connection.send(wholeResponse("order 7"));
            return true;
        };
        ScriptedTarget first(script);
        ScriptedTarget second(script);
        DaemonProcess const daemon({ .targets = { { first.port() }, { second.port() } } });
        auto const response = daemon.call(lookup);
        CHECK(response.status() == 200);
        CHECK(response.body == "order 7");
        CHECK(sends == 2);
    }
}

TEST_CASE("Response_EndsEarly_IsNotShownAsComplete", "[RequestPath]")
{
    std::vector<std::pair<std::string, std::string>> const rows {
        // A small body of known length is read before the head is sent to the caller; faultRows() covers that case.
        { "short large body", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc" },
        { "no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n" },
        { "cut chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc" },
        { "invalid chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n" },
    };
    for (auto const& [name, bytes] : rows) {
        INFO(name);
        ScriptedTarget target(sending(bytes));
        DaemonProcess const daemon({ .targets = { { target.port() } } });
        auto connection = daemon.connect();
        connection.send(lookup);
        CHECK_FALSE(connection.readResponse().isComplete);
        CHECK(connection.waitForEnd(1s));
    }
}

TEST_CASE("Response_ExtraBytes_ReachNoOtherCaller", "[RequestPath]")
{
    // Bytes left on a connection would be taken for the response to the next request.
    auto const ownPath = [](std::string const& head) { return head.substr(4, head.find(' ', 4) - 4); };
    std::vector<std::pair<std::string, std::string>> const rows {
        { "two responses", wholeResponse("wrong") },
        { "extra bytes", "garbage" },
    };
    for (auto const& row : rows) {
        INFO(row.first);
        ScriptedTarget target([&](RawConnection& connection, std::string const& head) {
            connection.send(wholeResponse(ownPath(head)) + row.second);
            return true;
        });
        DaemonProcess const daemon({ .targets = { { target.port() } } });
        auto connection = daemon.connect();
        for (int number = 0; number < 10; ++number) {
            auto const path = "/orders/" + std::to_string(number);
            connection.send(request("GET", path));
            CHECK(connection.readResponse().body == path);
        }
    }
}

TEST_CASE("Response_Late_ReachesNoOtherCaller", "[RequestPath]")
{
    std::atomic<unsigned> sends { 0 };
    ScriptedTarget target([&](RawConnection& connection, std::string const&) {
        bool const isLate = ++sends == 1;
        if (isLate)
            std::this_thread::sleep_for(400ms);
        connection.send(wholeResponse(isLate ? "late" : "own"));
        return true;
    });
    DaemonProcess const daemon({ .targets = { { target.port() } } });
    auto connection = daemon.connect();
    connection.send(request("GET", "/orders/1", "Comfreysail-Timeout-Ms: 200\r\n"));
    CHECK(connection.readResponse().status() == 504);
    std::this_thread::sleep_for(300ms);
    connection.send(request("GET", "/orders/2"));
    CHECK(connection.readResponse().body == "own");
    CHECK(target.connections() == 2);
}

TEST_CASE("Response_BeforeBodyWasRead_ReachesCaller", "[RequestPath]")
{
    ScriptedTarget target([](RawConnection& connection, std::string const&) {
        connection.send(wholeResponse("no room"));
        connection.waitForEnd(3s);
        return false;
    });
    DaemonProcess const daemon({ .targets = { { target.port() } } });
    auto connection = daemon.connect();
    // More than all socket buffers between caller and target hold.
    std::string const body(32 * 1024 * 1024, 'x');
    std::jthread const sender([&] { connection.send(request("POST", "/orders", {}, body)); });
    auto const response = connection.readResponse();
    CHECK(response.body == "no room");
    connection.reset();
}

TEST_CASE("Body_Large_IsStreamedWhole", "[RequestPath]")
{
    ScriptedTarget target([](RawConnection& connection, std::string const& head) {
        auto const lengthAt = head.find("Content-Length: ");
        auto const body = connection.readExactly(std::stoul(head.substr(lengthAt + 16)));
        connection.send(wholeResponse(body));
        return true;
    });
    DaemonProcess const daemon({ .targets = { { target.port() } } });
    std::string body;
    for (int line = 0; line < 200'000; ++line)
        body += std::to_string(line) + "\n";
    CHECK((daemon.call(request("POST", "/orders", {}, body)).body == body));
}

TEST_CASE("Fields_DaemonOnly_DoNotReachTarget", "[RequestPath]")
{
    ScriptedTarget target(sending(wholeResponse("ok"), true));
    DaemonProcess const daemon({ .targets = { { target.port() } } });
    daemon.call(request("GET", "/orders/1",
        "Connection: X-Secret\r\nX-Secret: 1\r\nComfreysail-Attempt: 9\r\nComfreysail-Hops: 9\r\n"
        "Comfreysail-Start-By: 1\r\nComfreysail-Group: a;0;0\r\n"));
    auto const head = target.heads().at(0);
    for (auto const* unwanted : { "X-Secret", "Attempt: 9", "Hops", "Start-By: 1\r", "Comfreysail-Group" }) {
        INFO(unwanted);
        CHECK(head.find(unwanted) == std::string::npos);
    }
    CHECK(head.find("Comfreysail-Attempt: 1\r\n") != std::string::npos);
}

TEST_CASE("Order_RepeatedKey_ReachesTargetOnce", "[RequestPath]")
{
    ScriptedTarget target(sending(wholeResponse("done", {}, "201 Created"), true));
    DaemonProcess const daemon({ .targets = { { target.port() } } });
    auto const keyed = request("POST", "/orders", "Idempotency-Key: k1\r\n", "paper=1");
    CHECK(daemon.call(keyed).status() == 201);
    auto const second = daemon.call(keyed);
    CHECK(second.status() == 201);
    CHECK(target.requests() == 1);
    auto const other = daemon.call(request("POST", "/orders", "Idempotency-Key: k1\r\n", "paper=2"));
    CHECK(other.field("Comfreysail-Error") == "idempotency_key_reused");
}
