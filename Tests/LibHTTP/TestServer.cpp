#include <LibHTTP/HTTP.h>
#include <Support/RawConnection.h>
#include <array>
#include <catch2/catch.hpp>
#include <ctime>
#include <thread>

using namespace Comfreysail;
using namespace Comfreysail::HTTP;
using Tests::RawConnection;

namespace {

awaitable<void> echo(ServerExchange& exchange)
{
    std::string body;
    std::array<char, 1000> piece {};
    while (true) {
        auto const size = co_await exchange.readBody(piece);
        if (isError(size))
            co_return;
        if (valueOf(size) == 0)
            break;
        body.append(piece.data(), valueOf(size));
    }
    ResponseHead head;
    head.chunked = exchange.head().target == "/chunked";
    if (!head.chunked)
        head.contentLength = body.size();
    exchange.startResponse(std::move(head));
    co_await exchange.sendBody(body);
    co_await exchange.finish();
}

constexpr auto slowTime = std::chrono::milliseconds(400);

/// Allows further pipelined requests to be processed concurrently and delays the response to "/slow" by slowTime.
awaitable<void> answerSlowly(ServerExchange& exchange)
{
    exchange.watchCaller([] {}, PipeliningMode::ReadAhead);
    if (exchange.head().target == "/slow") {
        asio::steady_timer timer(exchange.strand(), slowTime);
        co_await timer.async_wait(useTuple);
    }
    ResponseHead head;
    co_await exchange.respond(std::move(head), exchange.head().target);
}

/// A server on its own threads; the default handler echoes the request body.
class EchoServer {
public:
    explicit EchoServer(ServerOptions const& options = {}, Handler handler = echo)
        : m_server(Server::create(m_context, options, std::move(handler)))
    {
        REQUIRE_FALSE(isError(m_server->start()));
        for (auto& thread : m_threads)
            thread = std::jthread([this] { m_context.run(); });
    }
    ~EchoServer() { m_context.stop(); }
    EchoServer(EchoServer const&) = delete;
    EchoServer& operator=(EchoServer const&) = delete;

    Server& server() { return *m_server; }
    RawConnection connect() const { return RawConnection::connectTo(m_server->port()); }

private:
    asio::io_context m_context;
    std::shared_ptr<Server> m_server;
    std::array<std::jthread, 2> m_threads;
};

std::string post(std::string const& fields, std::string const& body)
{
    return "POST / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n" + body;
}

}

TEST_CASE("Server_PipelinedRequests_AreServedInOrder", "[Server]")
{
    EchoServer const server;
    auto connection = server.connect();
    connection.send(
        post("Content-Length: 3\r\n", "one") + post("Transfer-Encoding: chunked\r\n", "3\r\ntwo\r\n0\r\n\r\n"));
    CHECK(connection.readResponse().body == "one");
    CHECK(connection.readResponse().body == "two");
    connection.send("GET /chunked HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nthree");
    auto const response = connection.readResponse();
    CHECK(response.isComplete);
    CHECK(response.body == "three");
}

// A response that waits for an earlier one must not busy-wait; a busy wait there once used half of a VM's core.
TEST_CASE("Server_PipelinedBehindSlowResponse_WaitsInOrderWithoutBusyLoop", "[Server]")
{
    EchoServer const server({}, answerSlowly);
    auto connection = server.connect();
    auto const before = std::clock();
    connection.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\nGET /fast HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(connection.readResponse().body == "/slow");
    CHECK(connection.readResponse().body == "/fast");
    auto const used = std::chrono::duration<double>(static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC);
    CHECK(used < slowTime / 4);
}

TEST_CASE("Server_Head_HasLengthWithoutBody", "[Server]")
{
    EchoServer const server;
    auto connection = server.connect();
    connection.send("HEAD / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc");
    auto const head = connection.readResponse(false);
    CHECK(head.field("Content-Length") == "3");
    // A body sent in response to HEAD would be read as the start of this response.
    connection.send(post("Content-Length: 1\r\n", "x"));
    CHECK(connection.readResponse().body == "x");
}

TEST_CASE("Server_ExpectContinue_SendsContinueBeforeTheBody", "[Server]")
{
    EchoServer const server;
    auto connection = server.connect();
    connection.send(post("Content-Length: 3\r\nExpect: 100-continue\r\n", ""));
    CHECK(connection.readUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    connection.send("abc");
    CHECK(connection.readResponse().body == "abc");
}

TEST_CASE("Server_MalformedInput_Gets400AndCloses", "[Server]")
{
    EchoServer const server;
    std::vector<std::pair<std::string, std::string>> const rows {
        { "both lengths", post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "abc") },
        { "blank before the colon", post("Content-Length : 3\r\n", "abc") },
        { "bare LF, without waiting for more", "GET / HTTP/1.1\nHost: a\n" },
    };
    for (auto const& [name, input] : rows) {
        INFO(name);
        auto connection = server.connect();
        connection.send(input);
        auto const response = connection.readResponse();
        CHECK(response.status() == 400);
        CHECK(response.field("Comfreysail-Outcome") == "not-run");
        CHECK(connection.waitForEnd(std::chrono::seconds(1)));
    }
}

TEST_CASE("Server_InvalidChunkSize_Closes", "[Server]")
{
    EchoServer const server;
    for (std::string const size : { "g", "-1", "+3", "0x3", "", " 3", "ffffffffffffffffff" }) {
        INFO(size);
        auto connection = server.connect();
        connection.send(post("Transfer-Encoding: chunked\r\n", size + "\r\nabc\r\n0\r\n\r\n"));
        CHECK(connection.readResponse().status() != 200);
    }
}

TEST_CASE("Server_HeadAboveLimit_Gets431", "[Server]")
{
    EchoServer const server;
    auto connection = server.connect();
    connection.send("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(17 * 1024, 'x'));
    CHECK(connection.readResponse().status() == 431);
}

TEST_CASE("Server_SlowHead_Closes", "[Server]")
{
    ServerOptions options;
    options.headerTimeout = std::chrono::milliseconds(200);
    EchoServer const server(options);
    auto connection = server.connect();
    auto const start = std::chrono::steady_clock::now();
    // Single bytes sent every 50 ms must not extend the header timeout.
    for (int byte = 0; byte < 6; ++byte) {
        connection.send("G");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CHECK(connection.waitForEnd(std::chrono::seconds(2)));
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(1));
}

TEST_CASE("Server_CloseIdle_KeepsBusyConnections", "[Server]")
{
    EchoServer server;
    auto idle = server.connect();
    idle.send(post("Content-Length: 1\r\n", "x"));
    REQUIRE(idle.readResponse().isComplete);
    auto busy = server.connect();
    busy.send(post("Content-Length: 3\r\n", "a"));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    server.server().closeAfterResponses();
    server.server().closeIdleConnections();
    CHECK(idle.waitForEnd(std::chrono::seconds(1)));
    busy.send("bc");
    auto const response = busy.readResponse();
    CHECK(response.body == "abc");
}
