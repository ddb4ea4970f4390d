#include <LibHTTP/HTTP.h>
#include <Support/ScriptedTarget.h>
#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::HTTP;
using Tests::ScriptedTarget;
using Tests::wholeResponse;
using namespace std::chrono_literals;

namespace {

/// Opens a connection and completes one exchange on it; nullptr on failure.
awaitable<std::shared_ptr<ClientConnection>> exchangeOnce(ConnectionPool& pool, Endpoint endpoint)
{
    auto connection = pool.create(endpoint);
    auto const connected = co_await connection->connect();
    if (isError(connected))
        co_return nullptr;
    RequestHead head;
    head.method = "GET";
    head.target = "/";
    head.fields.add("Host", "a");
    auto const body = std::make_shared<std::string const>();
    auto const sent = co_await connection->send(head, body);
    auto const response = co_await connection->readHead("GET");
    if (isError(sent) || isError(response))
        co_return nullptr;
    std::array<char, 1000> buffer {};
    while (true) {
        auto const size = co_await connection->readBody(buffer);
        if (isError(size))
            co_return nullptr;
        if (valueOf(size) == 0)
            co_return connection;
    }
}

struct PoolFixture {
    asio::io_context context;
    ConnectionPool pool { context, PoolOptions {} };

    std::shared_ptr<ClientConnection> exchange(ScriptedTarget const& target)
    {
        context.restart();
        auto result = asio::co_spawn(context, exchangeOnce(pool, endpointOf(target)), asio::use_future);
        context.run();
        return result.get();
    }
    static Endpoint endpointOf(ScriptedTarget const& target) { return { "127.0.0.1", target.port() }; }
};

ScriptedTarget::Script answering(std::string const& response, bool keepOpen = true)
{
    return [=](Tests::RawConnection& connection, std::string const&) {
        connection.send(response);
        return keepOpen;
    };
}

}

TEST_CASE_METHOD(PoolFixture, "Pool_WholeResponse_ConnectionIsReused", "[ConnectionPool]")
{
    ScriptedTarget const target(answering(wholeResponse("abc")));
    auto const connection = exchange(target);
    REQUIRE(connection);
    auto const now = Core::monotonicNow();
    pool.release(connection, now);
    CHECK(pool.take(endpointOf(target), ReusePolicy::None, now) == nullptr);
    CHECK(pool.take(endpointOf(target), ReusePolicy::Any, now) == connection);
    CHECK(pool.take(endpointOf(target), ReusePolicy::Any, now) == nullptr);
    connection->close();
}

// Guards against two requests with the same id on one connection, where a late copy of the response to the first one
// could not be told from the response to the second. Other requests still use the connection.
TEST_CASE_METHOD(PoolFixture, "Pool_ConnectionHasCarriedTheRequestId_AnotherOneIsTaken", "[ConnectionPool]")
{
    ScriptedTarget const target(answering(wholeResponse("abc")));
    auto const older = exchange(target);
    auto const newer = exchange(target);
    REQUIRE((older && newer));
    newer->noteRequestId(1);
    newer->noteRequestId(2);
    auto const now = Core::monotonicNow();
    pool.release(older, now);
    pool.release(newer, now);
    CHECK(pool.take(endpointOf(target), ReusePolicy::Any, now, 1) == older);
    CHECK(pool.take(endpointOf(target), ReusePolicy::Any, now, 2) == nullptr);
    CHECK(pool.take(endpointOf(target), ReusePolicy::Any, now, 3) == newer);
    older->close();
    newer->close();
}

// Guards against a connection whose memory of request ids grows for as long as it is in use.
TEST_CASE_METHOD(PoolFixture, "Pool_ConnectionHasCarriedManyRequestIds_IsReplaced", "[ConnectionPool]")
{
    ScriptedTarget const target(answering(wholeResponse("abc")));
    auto const connection = exchange(target);
    REQUIRE(connection);
    for (uint64_t id = 0; id < 256; ++id) {
        CHECK(connection->isReusable());
        connection->noteRequestId(id);
    }
    CHECK_FALSE(connection->isReusable());
    connection->close();
}

TEST_CASE_METHOD(PoolFixture, "Pool_UncleanConnection_IsNotReused", "[ConnectionPool]")
{
    // Reusing any of these connections could give the next caller bytes of another response, or none.
    std::vector<std::pair<std::string, ScriptedTarget::Script>> const rows {
        { "bytes after the response", answering(wholeResponse("abc") + "x") },
        { "a second response", answering(wholeResponse("abc") + wholeResponse("def")) },
        { "Connection: close", answering(wholeResponse("abc", "Connection: close\r\n")) },
        { "closed by the target", answering(wholeResponse("abc"), false) },
    };
    for (auto const& [name, script] : rows) {
        INFO(name);
        ScriptedTarget const target(script);
        auto const connection = exchange(target);
        REQUIRE(connection);
        std::this_thread::sleep_for(50ms);
        pool.release(connection, Core::monotonicNow());
        CHECK(pool.take(endpointOf(target), ReusePolicy::Any, Core::monotonicNow()) == nullptr);
        connection->close();
    }
}

TEST_CASE_METHOD(PoolFixture, "Pool_NonIdempotentRequest_GetsRecentConnection", "[ConnectionPool]")
{
    ScriptedTarget const target(answering(wholeResponse("abc")));
    auto const connection = exchange(target);
    REQUIRE(connection);
    auto const now = Core::monotonicNow();
    pool.release(connection, now);
    CHECK(pool.take(endpointOf(target), ReusePolicy::RecentlyUsed, now + 1001ms) == nullptr);
    CHECK(pool.take(endpointOf(target), ReusePolicy::RecentlyUsed, now + 999ms) == connection);
    connection->close();
}

TEST_CASE_METHOD(PoolFixture, "Pool_UnresponsiveConnection_OlderOnesAreNotReused", "[ConnectionPool]")
{
    ScriptedTarget const target(answering(wholeResponse("abc")));
    auto const idle = exchange(target);
    auto const unresponsive = exchange(target);
    auto const newer = exchange(target);
    REQUIRE((idle && unresponsive && newer));
    auto const now = Core::monotonicNow();
    pool.release(idle, now);
    pool.discard(unresponsive, true);
    // The idle connection is older than the unresponsive one, so it may be broken too.
    CHECK(pool.take(endpointOf(target), ReusePolicy::Any, now) == nullptr);
    CHECK(pool.idleConnections() == 1);
    pool.release(newer, now);
    CHECK(pool.idleConnections() == 1);
    CHECK(pool.take(endpointOf(target), ReusePolicy::Any, now) == newer);
    newer->close();
}

// Guards against a request on a connection that the target closes just then, because it announced a shorter idle
// timeout than the pool's.
TEST_CASE_METHOD(PoolFixture, "Pool_TargetAnnouncesIdleTimeout_ConnectionIsNotKeptLonger", "[ConnectionPool]")
{
    struct Row {
        std::string field;
        Core::Duration lastUse;
        Core::Duration firstRefusal;
    };
    std::vector<Row> const rows {
        { "Keep-Alive: timeout=5\r\n", 3900ms, 4001ms },
        { "Keep-Alive: timeout=20\r\n", 17900ms, 18001ms },
        { "keep-alive: max=100, Timeout=5\r\n", 3900ms, 4001ms },
        { "Keep-Alive: timeout=5\r\nKeep-Alive: timeout=10\r\n", 3900ms, 4001ms },
        // The pool's own limit is shorter, or the only one.
        { "Keep-Alive: timeout=99999999999\r\n", 29900ms, 30001ms },
        { "Keep-Alive: timeout=5s\r\n", 29900ms, 30001ms },
        { "Keep-Alive: timeout=\r\n", 29900ms, 30001ms },
        { "", 29900ms, 30001ms },
    };
    for (auto const& row : rows) {
        INFO(row.field);
        ScriptedTarget const target(answering(wholeResponse("abc", row.field)));
        auto const connection = exchange(target);
        REQUIRE(connection);
        auto const now = Core::monotonicNow();
        pool.release(connection, now);
        CHECK(pool.hasIdle(endpointOf(target), now + row.lastUse));
        CHECK(!pool.hasIdle(endpointOf(target), now + row.firstRefusal));
        pool.closeExpired(now + row.lastUse);
        CHECK(pool.idleConnections() == 1);
        CHECK(pool.take(endpointOf(target), ReusePolicy::Any, now + row.lastUse) == connection);
        pool.release(connection, now);
        CHECK(pool.take(endpointOf(target), ReusePolicy::Any, now + row.firstRefusal) == nullptr);
        CHECK(pool.idleConnections() == 0);
    }
}

// Guards against keeping a connection that the target closes at once.
TEST_CASE_METHOD(PoolFixture, "Pool_TargetAnnouncesNoIdleTime_ConnectionIsNotReused", "[ConnectionPool]")
{
    ScriptedTarget const target(answering(wholeResponse("abc", "Keep-Alive: timeout=0\r\n")));
    auto const connection = exchange(target);
    REQUIRE(connection);
    auto const now = Core::monotonicNow();
    pool.release(connection, now);
    CHECK(pool.take(endpointOf(target), ReusePolicy::Any, now + 1ms) == nullptr);
}

// Guards against an expired connection that hides an older one that may still be used: the time that a target announces
// differs between connections.
TEST_CASE_METHOD(PoolFixture, "Pool_NewestConnectionHasExpired_AnOlderOneIsUsed", "[ConnectionPool]")
{
    std::atomic<unsigned> timeout = 20;
    ScriptedTarget const target([&timeout](Tests::RawConnection& connection, std::string const&) {
        connection.send(wholeResponse("abc", "Keep-Alive: timeout=" + std::to_string(timeout) + "\r\n"));
        return true;
    });
    auto const older = exchange(target);
    timeout = 1;
    auto const newer = exchange(target);
    REQUIRE((older && newer));
    auto const now = Core::monotonicNow();
    pool.release(older, now);
    pool.release(newer, now + 1ms);
    CHECK(pool.take(endpointOf(target), ReusePolicy::Any, now + 5s) == older);
    older->close();
}
