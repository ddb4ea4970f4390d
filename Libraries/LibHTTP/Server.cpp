#include <LibHTTP/Server.h>

#include <LibHTTP/ErrorResponse.h>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <optional>

namespace Comfreysail::HTTP {

using Core::Empty;
using Core::Error;
using Core::ErrorKind;
using Core::Result;

namespace {

constexpr size_t firstReadSize = 4 * 1024;
// In bytes. An unread request body up to this size is discarded to keep the connection; a larger one closes it.
constexpr size_t maxDiscardedBody = 64 * 1024;
// How long a closing connection keeps reading: closing it with unread input would send a reset, which can destroy the
// response before the caller has read it.
constexpr auto lingerTimeout = std::chrono::seconds(2);
// Pipelined requests of one connection that are processed concurrently; further ones are read after a response.
constexpr size_t maxRequestsInProgress = 16;
constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

}

class Server::Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<Server> server, tcp::socket socket, asio::any_io_executor strand)
        : m_server(std::move(server))
        , m_strand(std::move(strand))
        , m_stream(std::move(socket))
        , m_watchdogs { Watchdog::create(m_strand), Watchdog::create(m_strand) }
        , m_stateChanged(m_strand, asio::steady_timer::time_point::max())
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
            mayContinue = co_await readNext();
        co_await waitUntil([this] { return m_requestsInProgress.empty(); });
        if (m_lingersBeforeClose)
            co_await lingerAndClose();
        m_watchdogs.read->disarm();
        m_stream.close();
    }

    void closeIfIdle()
    {
        asio::post(m_strand, [self = shared_from_this()] {
            // The pending read may already have taken bytes of a request from the socket, which it has not reported
            // yet. Cancelling it has no effect then, and the request is served.
            ErrorCode ignored;
            if (self->isIdle() && self->m_stream.isOpenWithoutInput())
                self->m_stream.socket.cancel(ignored);
        });
    }

private:
    void armClose(Core::Duration timeout)
    {
        m_watchdogs.read->arm(Core::monotonicNow() + timeout, [&stream = m_stream] { stream.close(); });
    }

    /// Ends the wait for a next request. Unlike a close, it does not lose a request that has just been received.
    void armCancel(Core::Duration timeout)
    {
        m_watchdogs.read->arm(Core::monotonicNow() + timeout, [&stream = m_stream] {
            ErrorCode ignored;
            stream.socket.cancel(ignored);
        });
    }

    struct Request {
        Request(Stream& stream, ReadLimits limits)
            : reader(stream, limits)
        {
        }

        RequestReader reader;
        std::optional<ServerExchange> exchange; ///< Set once the head has been read.
    };

    bool isIdle() const { return m_isReceiving && m_requestsInProgress.empty(); }

    void noteChange() { m_stateChanged.cancel(); }

    awaitable<void> waitUntil(std::function<bool()> isTrue)
    {
        while (!isTrue())
            co_await m_stateChanged.async_wait(useTuple);
    }

    bool mayReadNext() const
    {
        return m_requestsInProgress.empty()
            || (m_requestsInProgress.size() < maxRequestsInProgress
                && m_requestsInProgress.back()->exchange->isReadingAhead());
    }

    /// Reads the head of the next request and starts to process it. Returns false if no further request will be read.
    awaitable<bool> readNext()
    {
        auto const& options = m_server->m_options;
        co_await waitUntil([this] { return m_isEnding || mayReadNext(); });
        if (m_isEnding)
            co_return false;
        if (m_stream.received.isEmpty()) {
            m_isReceiving = true;
            if (isIdle())
                armCancel(options.idleTimeout);
            auto const error = co_await m_stream.receive(firstReadSize);
            m_isReceiving = false;
            m_watchdogs.read->disarm();
            if (error) {
                endAfterCallerClosed();
                co_return false;
            }
        }
        armClose(options.headerTimeout);
        auto const request = std::make_shared<Request>(m_stream, options.limits);
        auto head = co_await request->reader.readHead();
        m_watchdogs.read->disarm();
        if (isError(head)) {
            if (errorOf(head).kind == ErrorKind::CallerGone)
                endAfterCallerClosed();
            co_await waitUntil([this] { return m_requestsInProgress.empty(); });
            if (!m_isEnding)
                co_await sendErrorResponse(errorOf(head));
            co_return false;
        }
        // An earlier response closes the connection, so this request is not processed; the caller sends it again.
        bool const isBehindClosingResponse
            = !m_requestsInProgress.empty() && m_requestsInProgress.back()->exchange->willClose();
        if (m_isEnding || isBehindClosingResponse)
            co_return false;
        // Requests behind this one have been taken already, and their responses have to follow on this connection.
        auto mustClose = [this, key = request.get()] {
            return m_server->m_closesAfterResponses && m_requestsInProgress.back().get() == key;
        };
        SessionCallbacks callbacks { [this] { noteChange(); }, [this] { endAfterCallerClosed(); },
            std::move(mustClose) };
        request->exchange.emplace(m_stream, request->reader, takeValue(std::move(head)), m_watchdogs, options, m_strand,
            std::move(callbacks));
        if (m_server->m_closesAfterResponses)
            request->exchange->closeAfterResponse();
        if (!m_requestsInProgress.empty())
            request->exchange->holdForEarlierResponses();
        m_requestsInProgress.push_back(request);
        asio::co_spawn(
            m_strand, [self = shared_from_this(), request]() -> awaitable<void> { co_await self->serve(*request); },
            asio::detached);
        co_return true;
    }

    awaitable<void> serve(Request& request)
    {
        auto& exchange = *request.exchange;
        co_await m_server->m_handler(exchange);
        exchange.stopWatching();
        bool mayContinue = exchange.mayKeepAlive();
        if (exchange.isResponseFinished()) {
            if (mayContinue)
                mayContinue = co_await discardBody(exchange);
            m_lingersBeforeClose = m_lingersBeforeClose || !mayContinue;
        } else {
            exchange.abort();
        }
        std::erase_if(m_requestsInProgress, [&request](auto const& other) { return other.get() == &request; });
        if (!mayContinue)
            endAfterResponse();
        else if (!m_requestsInProgress.empty())
            m_requestsInProgress.front()->exchange->noteEarlierResponsesSent();
        if (isIdle())
            armCancel(m_server->m_options.idleTimeout);
        // The response may have started before the server began to close connections.
        if (m_server->m_closesIdleConnections)
            closeIfIdle();
        noteChange();
    }

    void dropRequests()
    {
        m_isEnding = true;
        // drop() may finish a request, which removes it from m_requestsInProgress.
        auto const requests = m_requestsInProgress;
        for (auto const& request : requests)
            request->exchange->drop();
        noteChange();
    }

    /// The caller closed the connection or its sending side, so no response is delivered any more.
    void endAfterCallerClosed()
    {
        m_lingersBeforeClose = false;
        dropRequests();
    }

    /// A response closes the connection. Later pipelined requests get no response; the caller sends them again.
    void endAfterResponse()
    {
        dropRequests();
        ErrorCode ignored;
        m_stream.socket.cancel(ignored);
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

    awaitable<void> sendErrorResponse(Error error)
    {
        if (error.kind == ErrorKind::CallerGone)
            co_return;
        auto response = errorResponse(error, Core::RequestOutcome::NotRun);
        response.head.keepAlive = false;
        response.head.contentLength = response.body.size();
        auto const text = serialize(response.head) + response.body;
        armClose(lingerTimeout);
        co_await asio::async_write(m_stream.socket, asio::buffer(text), useTuple);
        co_await lingerAndClose();
    }

    awaitable<void> lingerAndClose()
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
    asio::steady_timer m_stateChanged; ///< Never expires; cancelled when a member below changes.
    std::deque<std::shared_ptr<Request>> m_requestsInProgress; ///< In order of arrival.
    bool m_isReceiving { false };
    bool m_isEnding { false };           ///< No further request is read.
    bool m_lingersBeforeClose { false }; ///< Reads on for lingerTimeout before closing.
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
            // Probably out of file descriptors; without a delay the loop would spin and use a whole core.
            retryTimer.expires_after(acceptRetryDelay);
            co_await retryTimer.async_wait(useTuple);
            continue;
        }
        serve(std::move(socket));
    }
}

void Server::serve(tcp::socket socket)
{
    if (connections() >= m_options.maxConnections)
        return; // The socket closes here, which makes the platform's load balancer use another VM immediately.
    asio::any_io_executor const strand = asio::make_strand(m_context);
    auto session = std::make_shared<Session>(shared_from_this(), std::move(socket), strand);
    addSession(session);
    asio::co_spawn(
        strand, [session]() -> awaitable<void> { co_await session->run(); }, asio::detached);
}

void Server::stopAccepting()
{
    asio::post(m_acceptStrand, [self = shared_from_this()] {
        // Closing the listening socket would reset the connections that callers have opened and that wait in the
        // kernel, perhaps with a request.
        ErrorCode error;
        self->m_acceptor.cancel(error);
        self->m_acceptor.non_blocking(true, error);
        while (!error) {
            auto socket = self->m_acceptor.accept(self->m_context.get_executor(), error);
            if (!error)
                self->serve(std::move(socket));
        }
        self->m_acceptor.close(error);
    });
}

void Server::closeIdleConnections()
{
    m_closesIdleConnections = true;
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
