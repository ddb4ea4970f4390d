#include <LibHTTP/HTTP.h>
#include <Support/RawConnection.h>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <ctime>
#include <sys/socket.h>
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
    uint16_t port() const { return m_server->port(); }
    RawConnection connect() const { return RawConnection::connectTo(port()); }

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

namespace {

/// Holds the requests to "/held" until release(), as if they ran at a target.
class HeldRequests {
public:
    awaitable<void> handle(ServerExchange& exchange)
    {
        exchange.watchCaller([this] { ++m_gone; }, PipeliningMode::ReadAhead);
        if (exchange.head().target == "/held") {
            ++m_running;
            asio::steady_timer timer(exchange.strand());
            while (!m_isReleased) {
                timer.expires_after(std::chrono::milliseconds(10));
                co_await timer.async_wait(useTuple);
            }
        }
        ResponseHead head;
        co_await exchange.respond(std::move(head), "done");
    }
    Handler handler()
    {
        return [this](ServerExchange& exchange) { return handle(exchange); };
    }
    void release() { m_isReleased = true; }
    unsigned running() const { return m_running; }
    unsigned gone() const { return m_gone; }

private:
    std::atomic<bool> m_isReleased { false };
    std::atomic<unsigned> m_running { 0 };
    std::atomic<unsigned> m_gone { 0 };
};

bool within(std::chrono::milliseconds time, std::function<bool()> const& condition)
{
    auto const end = std::chrono::steady_clock::now() + time;
    while (!condition() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return condition();
}

std::string const heldRequest = "GET /held HTTP/1.1\r\nHost: a\r\n\r\n";
std::string const plainRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr auto hangTime = std::chrono::seconds(5);

}

// Guards against refusing a new client while idle connections fill the limit, and against closing the connection of a
// request that may have been passed on to a target.
TEST_CASE("Server_AtItsLimit_GivesUpTheOldestIdleConnectionAndNoneWithARequest", "[Server]")
{
    HeldRequests requests;
    ServerOptions options;
    options.maxConnections = 3;
    std::atomic<unsigned> givenUp { 0 };
    options.onLimit = [&](ClientLimit limit, std::string const& address) {
        givenUp += limit == ClientLimit::GivenUp && address == "127.0.0.1" ? 1 : 0;
    };
    EchoServer const server(options, requests.handler());
    auto busy = server.connect();
    busy.send(heldRequest);
    REQUIRE(within(hangTime, [&] { return requests.running() == 1; }));
    auto older = server.connect();
    older.send(plainRequest);
    CHECK(older.readResponse().body == "done");
    auto newer = server.connect();
    newer.send(plainRequest);
    CHECK(newer.readResponse().body == "done");
    auto next = server.connect();
    next.send(plainRequest);
    CHECK(next.readResponse().body == "done");
    CHECK(older.waitForEnd(hangTime));
    CHECK(givenUp == 1);
    newer.send(plainRequest);
    CHECK(newer.readResponse().body == "done");
    requests.release();
    CHECK(busy.readResponse().body == "done");
}

// Guards against giving up a request in progress: with nothing else to give up, the new connection is refused.
TEST_CASE("Server_AtItsLimitWithRequestsInProgress_RefusesTheNewConnection", "[Server]")
{
    HeldRequests requests;
    ServerOptions options;
    options.maxConnections = 2;
    EchoServer const server(options, requests.handler());
    auto first = server.connect();
    auto second = server.connect();
    first.send(heldRequest);
    second.send(heldRequest);
    REQUIRE(within(hangTime, [&] { return requests.running() == 2; }));
    auto third = server.connect();
    CHECK(third.waitForEnd(hangTime));
    requests.release();
    CHECK(first.readResponse().body == "done");
    CHECK(second.readResponse().body == "done");
}

// Guards against pipelined requests of many connections that together take all connections to targets, and against a
// close that is not noticed because further requests are left unread.
TEST_CASE("Server_RequestsAheadAtTheirLimit_WaitAndTheCloseIsNoticed", "[Server]")
{
    HeldRequests requests;
    ServerOptions options;
    options.maxRequestsAhead = 2;
    EchoServer const server(options, requests.handler());
    auto first = server.connect();
    first.send(heldRequest + heldRequest + heldRequest + heldRequest);
    REQUIRE(within(hangTime, [&] { return requests.running() == 3; }));
    auto second = server.connect();
    second.send(heldRequest + heldRequest);
    REQUIRE(within(hangTime, [&] { return requests.running() == 4; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(requests.running() == 4);
    second.close();
    // The work at the target has to end within half a second; twice that for a busy machine.
    CHECK(within(std::chrono::seconds(1), [&] { return requests.gone() == 1; }));
    requests.release();
    for (int response = 0; response < 4; ++response)
        CHECK(first.readResponse().body == "done");
}

// Guards against heads of legal size whose fields together take more memory than there is. Nothing of them may run.
TEST_CASE("Server_HeadsOfManyFields_AreRefusedBeyondTheirMemory", "[Server]")
{
    HeldRequests requests;
    ServerOptions options;
    options.maxHeadMemoryBytes = 400'000;
    EchoServer server(options, requests.handler());
    std::string fields;
    while (fields.size() < 10'000)
        fields += "a:b\r\n";
    std::string const large = "GET /held HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
    auto first = server.connect();
    first.send(large);
    REQUIRE(within(hangTime, [&] { return requests.running() == 1; }));
    auto second = server.connect();
    second.send(large);
    auto const refusal = second.readResponse();
    CHECK(refusal.status() == 503);
    CHECK(refusal.field("Comfreysail-Outcome") == "not-run");
    auto ordinary = server.connect();
    ordinary.send(plainRequest);
    CHECK(ordinary.readResponse().body == "done");
    requests.release();
    CHECK(first.readResponse().body == "done");
    // The response arrives a moment before its request has ended.
    CHECK(within(hangTime, [&] { return server.server().headMemoryBytes() == 0; }));
    auto third = server.connect();
    third.send(large);
    CHECK(third.readResponse().body == "done");
}

// Guards against a client that keeps a connection by sending a byte of its body now and then.
TEST_CASE("Server_BodyBelowTheLeastRate_IsCutOff", "[Server]")
{
    ServerOptions options;
    options.stallTimeout = std::chrono::milliseconds(300);
    options.minSendRate = 1000;
    EchoServer const server(options);
    auto connection = server.connect();
    connection.send(post("Content-Length: 100000\r\n", ""));
    CHECK(within(hangTime, [&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        return !connection.send("x");
    }));
}

// Guards against cutting off a large response that a client reads slowly but steadily.
TEST_CASE("Server_ResponseReadSteadily_IsNotCutOffAtTheStallTimeout", "[Server]")
{
    constexpr size_t bodyBytes = 8'000'000;
    ServerOptions options;
    options.stallTimeout = std::chrono::milliseconds(1000);
    EchoServer const server(options, [](ServerExchange& exchange) -> awaitable<void> {
        ResponseHead head;
        co_await exchange.respond(std::move(head), std::string(bodyBytes, 'x'));
    });
    auto connection = server.connect();
    connection.send(plainRequest);
    connection.readUntil("\r\n\r\n");
    size_t received = 0;
    // Takes about three times the stall timeout.
    while (received < bodyBytes) {
        auto const part = connection.readExactly(std::min<size_t>(250'000, bodyBytes - received)).size();
        if (part == 0)
            break;
        received += part;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    CHECK(received == bodyBytes);
}

namespace {

/// Responds with a body that the system takes at once, but that the client of SlowReader reads for seconds.
awaitable<void> respondLargely(ServerExchange& exchange)
{
    ResponseHead head;
    co_await exchange.respond(std::move(head), std::string(500'000, 'x'));
}

/// A client that reads a response of respondLargely() in two halves with a pause between them.
class SlowReader {
public:
    explicit SlowReader(ServerOptions const& options)
        : m_server(options, respondLargely)
        , m_connection(RawConnection::connectTo(m_server.port(), 16 * 1024))
    {
    }

    /// Returns the size of the body that arrives if `sent` is sent at the end of the pause.
    size_t read(std::string const& request, std::chrono::milliseconds pause, std::string const& sent)
    {
        m_connection.send(request);
        m_connection.readUntil("\r\n\r\n");
        auto const half = m_connection.readExactly(250'000).size();
        std::this_thread::sleep_for(pause);
        m_connection.send(sent);
        // The reset would arrive meanwhile.
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        return half + m_connection.readExactly(250'000).size();
    }
    RawConnection& connection() { return m_connection; }

private:
    EchoServer m_server;
    RawConnection m_connection;
};

}

// Guards against the idle timeout closing a connection whose client is still reading the last response, and sends its
// next request then.
TEST_CASE("Server_IdleTimeoutWhileTheClientReads_NextRequestIsServed", "[Server]")
{
    ServerOptions options;
    options.idleTimeout = std::chrono::milliseconds(200);
    SlowReader reader(options);
    CHECK(reader.read(plainRequest, std::chrono::milliseconds(700), plainRequest) == 500'000);
    CHECK(reader.connection().readResponse().body.size() == 500'000);
    CHECK(reader.connection().waitForEnd(std::chrono::seconds(3)));
}

// Guards against a closing connection that is no longer read after the linger timeout, although its client is still
// reading the response.
TEST_CASE("Server_ClosingResponseThatIsReadLongerThanTheLingerTimeout_IsWhole", "[Server]")
{
    SlowReader reader({});
    CHECK(reader.read(
              "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", std::chrono::milliseconds(2500), plainRequest)
        == 500'000);
    CHECK(reader.connection().waitForEnd(std::chrono::seconds(3)));
}

// Guards against a client that has vanished and holds a connection, or a planned stop, for good.
TEST_CASE("ResponseDelivery_NoProgress_EndsAfterTheStallTimeout", "[Server]")
{
    auto const at = [](int seconds) { return Core::Instant { std::chrono::seconds(1000 + seconds) }; };
    constexpr auto stall = std::chrono::seconds(5);
    CHECK_FALSE(isDelivering({}, stall, at(0)));
    auto const started = noteUndelivered({}, 900, at(0));
    CHECK(isDelivering(noteUndelivered(started, 900, at(4)), stall, at(4)));
    CHECK_FALSE(isDelivering(noteUndelivered(started, 900, at(5)), stall, at(5)));
    auto const progressed = noteUndelivered(started, 100, at(4));
    CHECK(isDelivering(progressed, stall, at(8)));
    auto const delivered = noteUndelivered(progressed, 0, at(8));
    CHECK(isDelivering(delivered, stall, at(8)));
    CHECK_FALSE(isDelivering(delivered, stall, at(9)));
}

namespace {

/// Connects from another address of the loopback interface.
RawConnection connectFrom(char const* source, uint16_t port)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = ::inet_addr(source);
    REQUIRE(::bind(descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0);
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0);
    return RawConnection(descriptor);
}

}

// Guards against one address that takes all connections, and against its crowd closing the connections of others.
TEST_CASE("Server_AddressAboveItsShare_GivesUpItsOwnConnectionsOnly", "[Server]")
{
    HeldRequests requests;
    ServerOptions options;
    options.maxConnections = 4;
    options.addressSharePercent = 50;
    std::atomic<unsigned> refused { 0 };
    options.onLimit = [&](ClientLimit limit, std::string const&) {
        refused += limit == ClientLimit::ConnectionsPerAddress ? 1 : 0;
    };
    EchoServer server(options, requests.handler());
    auto other = connectFrom("127.0.0.2", server.server().port());
    other.send(plainRequest);
    CHECK(other.readResponse().body == "done");
    auto first = server.connect();
    first.send(plainRequest);
    CHECK(first.readResponse().body == "done");
    auto second = server.connect();
    second.send(heldRequest);
    REQUIRE(within(hangTime, [&] { return requests.running() == 1; }));
    auto third = server.connect();
    third.send(heldRequest);
    REQUIRE(within(hangTime, [&] { return requests.running() == 2; }));
    CHECK(first.waitForEnd(hangTime));
    CHECK(refused == 0);
    auto fourth = server.connect();
    CHECK(fourth.waitForEnd(hangTime));
    CHECK(refused == 1);
    other.send(plainRequest);
    CHECK(other.readResponse().body == "done");
    requests.release();
    CHECK(second.readResponse().body == "done");
    CHECK(third.readResponse().body == "done");
}
