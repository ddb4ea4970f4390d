#include <LibHTTP/HTTP.h>
#include <Support/ScriptedTarget.h>
#include <array>
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
