#include <LibHTTP/Server.h>

#include <LibHTTP/ErrorResponse.h>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

namespace Comfreysail::HTTP {

using Core::Empty;
using Core::Error;
using Core::ErrorKind;
using Core::Result;

namespace {

constexpr size_t firstReadSize = 4 * 1024;
// A request body that the handler left unread is read up to this size to keep the connection; a larger one closes it.
constexpr size_t maxDiscardedBody = 64 * 1024;
// How long a closing connection reads on, so that a reset does not destroy the response before the caller has read it.
constexpr auto lingerTimeout = std::chrono::seconds(2);
constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

}

class Server::Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<Server> server, tcp::socket socket, asio::any_io_executor strand)
        : m_server(std::move(server))
        , m_strand(std::move(strand))
        , m_stream(std::move(socket))
        , m_watchdogs { Watchdog::create(m_strand), Watchdog::create(m_strand) }
    {
    }

    ~Session() { m_server->removeSession(this); }
    Session(Session const&) = delete;
    Session& operator=(Session const&) = delete;

    awaitable<void> run()
    {
        ErrorCode ignored;
        m_stream.socket.set_option(tcp::no_delay(true), ignored);
        bool mayContinue = true;
        while (mayContinue)
            mayContinue = co_await serveOne();
        m_watchdogs.read->disarm();
        m_stream.close();
    }

    void closeIfIdle()
    {
        asio::post(m_strand, [self = shared_from_this()] {
            if (self->m_isIdle && self->m_stream.isQuiet())
                self->m_stream.close();
        });
    }

private:
    void armClose(Core::Duration timeout)
    {
        m_watchdogs.read->arm(Core::monotonicNow() + timeout, [&stream = m_stream] { stream.close(); });
    }

    /// Serves the next request. False when the connection is finished.
    awaitable<bool> serveOne()
    {
        auto const& options = m_server->m_options;
        if (m_stream.received.isEmpty()) {
            m_isIdle = true;
            armClose(options.idleTimeout);
            auto const error = co_await m_stream.receive(firstReadSize);
            m_isIdle = false;
            if (error)
                co_return false;
        }
        armClose(options.headerTimeout);
        RequestReader reader(m_stream, options.limits);
        auto head = co_await reader.readHead();
        m_watchdogs.read->disarm();
        if (isError(head)) {
            co_await refuse(errorOf(head));
            co_return false;
        }
        ServerExchange exchange(m_stream, reader, takeValue(std::move(head)), m_watchdogs, options, m_strand);
        if (m_server->m_closesAfterResponses)
            exchange.closeAfterResponse();
        co_await m_server->m_handler(exchange);
        exchange.stopWatching();
        if (!exchange.isResponseFinished()) {
            exchange.abort();
            co_return false;
        }
        bool mayContinue = exchange.mayKeepAlive();
        if (mayContinue)
            mayContinue = co_await discardBody(exchange);
        if (!mayContinue)
            co_await closeGently();
        co_return mayContinue;
    }

    awaitable<bool> discardBody(ServerExchange& exchange)
    {
        std::array<char, 4096> buffer {};
        size_t discarded = 0;
        while (!exchange.isBodyFinished() && discarded <= maxDiscardedBody) {
            auto const size = co_await exchange.readBody(buffer);
            if (isError(size))
                co_return false;
            discarded += valueOf(size);
        }
        co_return exchange.isBodyFinished();
    }

    awaitable<void> refuse(Error error)
    {
        if (error.kind == ErrorKind::CallerGone)
            co_return;
        auto refusal = errorResponse(error, Core::RequestOutcome::NotRun);
        refusal.head.keepAlive = false;
        refusal.head.contentLength = refusal.body.size();
        auto const text = serialize(refusal.head) + refusal.body;
        armClose(lingerTimeout);
        co_await asio::async_write(m_stream.socket, asio::buffer(text), useTuple);
        co_await closeGently();
    }

    awaitable<void> closeGently()
    {
        ErrorCode ignored;
        m_stream.socket.shutdown(tcp::socket::shutdown_send, ignored);
        armClose(lingerTimeout);
        std::array<char, 4096> buffer {};
        while (true) {
            auto const [error, size] = co_await m_stream.socket.async_read_some(asio::buffer(buffer), useTuple);
            if (error)
                co_return;
        }
    }

    std::shared_ptr<Server> m_server;
    asio::any_io_executor m_strand;
    Stream m_stream;
    ExchangeWatchdogs m_watchdogs;
    bool m_isIdle { false };
};

std::shared_ptr<Server> Server::create(asio::io_context& context, ServerOptions options, Handler handler)
{
    return std::shared_ptr<Server>(new Server(context, std::move(options), std::move(handler)));
}

Server::Server(asio::io_context& context, ServerOptions options, Handler handler)
    : m_context(context)
    , m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_acceptStrand(asio::make_strand(context))
    , m_acceptor(m_acceptStrand)
{
}

Result<Empty> Server::start()
{
    auto const where = m_options.address + ":" + std::to_string(m_options.port);
    ErrorCode error;
    auto const address = asio::ip::make_address(m_options.address, error);
    if (error)
        return Error { ErrorKind::InvalidSettings, where + ": not an IP address" };
    tcp::endpoint const endpoint(address, m_options.port);
    m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(tcp::acceptor::max_listen_connections, error);
    if (error)
        return Error { ErrorKind::Internal, where + ": " + error.message() };
    m_port = m_acceptor.local_endpoint().port();
    asio::co_spawn(
        m_acceptStrand, [self = shared_from_this()]() -> awaitable<void> { return self->acceptLoop(); },
        asio::detached);
    return Empty {};
}

awaitable<void> Server::acceptLoop()
{
    auto const self = shared_from_this();
    asio::steady_timer retryTimer(m_acceptStrand);
    while (m_acceptor.is_open()) {
        auto [error, socket] = co_await m_acceptor.async_accept(m_context.get_executor(), useTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            // Most likely out of file descriptors; without a pause the loop would use a whole core.
            retryTimer.expires_after(acceptRetryDelay);
            co_await retryTimer.async_wait(useTuple);
            continue;
        }
        if (connections() >= m_options.maxConnections)
            continue; // The socket closes here, so that the platform's balancer uses another VM at once.
        asio::any_io_executor const strand = asio::make_strand(m_context);
        auto session = std::make_shared<Session>(self, std::move(socket), strand);
        addSession(session);
        asio::co_spawn(
            strand, [session]() -> awaitable<void> { co_await session->run(); }, asio::detached);
    }
}

void Server::stopAccepting()
{
    asio::post(m_acceptStrand, [self = shared_from_this()] {
        ErrorCode ignored;
        self->m_acceptor.close(ignored);
    });
}

void Server::closeIdleConnections()
{
    std::vector<std::shared_ptr<Session>> sessions;
    {
        std::lock_guard const lock(m_mutex);
        for (auto const& [key, weak] : m_sessions) {
            if (auto session = weak.lock())
                sessions.push_back(std::move(session));
        }
    }
    for (auto const& session : sessions)
        session->closeIfIdle();
}

void Server::addSession(std::shared_ptr<Session> const& session)
{
    std::lock_guard const lock(m_mutex);
    m_sessions.emplace(session.get(), session);
}

void Server::removeSession(Session const* session)
{
    std::lock_guard const lock(m_mutex);
    m_sessions.erase(session);
}

size_t Server::connections() const
{
    std::lock_guard const lock(m_mutex);
    return m_sessions.size();
}

}
