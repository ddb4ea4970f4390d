#include <LibHTTP/ServerSession.h>

#include <LibHTTP/ErrorResponse.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace Comfreysail::HTTP {

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
// Nothing reports that the client's system has acknowledged the last bytes of a response.
constexpr auto deliveryCheckInterval = std::chrono::milliseconds(100);
// While further pipelined requests are left unread, nothing reports that the client has closed. Its work at the target
// has to end within 0.5 s.
constexpr auto closeCheckInterval = std::chrono::milliseconds(200);
// A head whose fields take up to this size is not counted. It is the size of an ordinary one.
constexpr size_t freeHeadBytes = size_t { 4 } * 1024;

/// What the fields of a head take in memory, with the copy that is sent to the target.
size_t headMemory(RequestHead const& head)
{
    size_t bytes = 0;
    for (auto const& field : head.fields.all())
        bytes += sizeof(Field) + field.name.size() + field.value.size();
    return 2 * bytes;
}

}

awaitable<void> Server::Session::run()
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

void Server::Session::giveUp(ClientWait wait)
{
    asio::post(m_strand, [self = shared_from_this(), wait] {
        bool const mayClose = self->m_wait == wait
            && (wait != ClientWait::Idle || (self->isIdle() && self->m_stream.isOpenWithoutInput()));
        if (!mayClose) {
            self->m_server->noteKept(*self);
            self->setWait(self->m_wait);
            return;
        }
        self->m_server->noteLimit(ClientLimit::GivenUp, self->m_address);
        self->closeWhile(wait);
    });
}

void Server::Session::closeIfIdle()
{
    asio::post(m_strand, [self = shared_from_this()] {
        // The pending read may already have taken bytes of a request from the socket, which it has not reported
        // yet. Cancelling it has no effect then, and the request is served.
        ErrorCode ignored;
        if (!self->isIdle() || !self->m_stream.isOpenWithoutInput())
            return;
        auto const now = Core::monotonicNow();
        bool const isDelivering = self->updateDelivery(now);
        self->setDelivering(isDelivering);
        if (isDelivering)
            self->m_watchdogs.write->arm(
                now + deliveryCheckInterval, [session = self.get()] { session->closeIfIdle(); });
        else
            self->m_stream.socket.cancel(ignored);
    });
}

bool Server::Session::updateDelivery(Core::Instant now)
{
    m_delivery = noteUndelivered(m_delivery, m_stream.undeliveredBytes(), now);
    return isDelivering(m_delivery, m_server->m_options.stallTimeout, now);
}

void Server::Session::setDelivering(bool isDelivering)
{
    if (std::exchange(m_isDelivering, isDelivering) == isDelivering)
        return;
    if (isDelivering)
        ++m_server->m_deliveringConnections;
    else
        --m_server->m_deliveringConnections;
}

void Server::Session::armClose(Core::Duration timeout)
{
    m_watchdogs.read->arm(Core::monotonicNow() + timeout, [&stream = m_stream] { stream.close(); });
}

void Server::Session::armIdleTimeout(Core::Duration timeout)
{
    m_watchdogs.read->arm(Core::monotonicNow() + timeout, [this] {
        ErrorCode ignored;
        auto const& options = m_server->m_options;
        // A client may use the connection again until the timeout has passed since it has got the last response.
        if (updateDelivery(Core::monotonicNow()))
            armIdleTimeout(std::min(options.stallTimeout, options.idleTimeout));
        else
            m_stream.socket.cancel(ignored);
    });
}

void Server::Session::setWait(ClientWait wait)
{
    m_wait = wait;
    m_server->noteWait(*this, wait);
}

void Server::Session::noteExchangeWait(ClientWait wait)
{
    if (wait == ClientWait::Body && m_requestsInProgress.size() > 1)
        return;
    setWait(wait);
}

void Server::Session::noteReadingWait()
{
    if (m_isReadingHead && m_requestsInProgress.empty())
        setWait(ClientWait::Head);
    else if (isIdle())
        setWait(ClientWait::Idle);
}

void Server::Session::closeWhile(ClientWait wait)
{
    ErrorCode ignored;
    if (wait == ClientWait::Idle) {
        m_stream.socket.cancel(ignored);
    } else if (wait == ClientWait::Response) {
        m_stream.reset();
        endAfterCallerClosed();
    } else if (wait == ClientWait::Body) {
        m_stream.reset();
    } else {
        m_stream.close();
    }
}

awaitable<void> Server::Session::waitUntil(std::function<bool()> isTrue)
{
    while (!isTrue())
        co_await m_stateChanged.async_wait(useTuple);
}

bool Server::Session::isReadingAhead() const
{
    return !m_requestsInProgress.empty() && m_requestsInProgress.back()->exchange->isReadingAhead();
}

bool Server::Session::hasRoomAhead() const
{
    auto const& options = m_server->m_options;
    return m_requestsInProgress.size() < options.maxRequestsInProgress
        && m_server->m_requestsAhead < options.maxRequestsAhead;
}

awaitable<void> Server::Session::waitToReadNext()
{
    bool wasLimitNoted = false;
    while (!m_isEnding && !mayReadNext()) {
        bool const isLimited = isReadingAhead();
        if (isLimited && !std::exchange(wasLimitNoted, true))
            m_server->noteLimit(ClientLimit::RequestsAhead, m_address);
        if (isLimited)
            m_stateChanged.expires_after(closeCheckInterval);
        co_await m_stateChanged.async_wait(useTuple);
        if (!isLimited)
            continue;
        m_stateChanged.expires_at(asio::steady_timer::time_point::max());
        if (isReadingAhead() && m_stream.isClosedByPeer())
            endAfterCallerClosed();
    }
}

awaitable<bool> Server::Session::readNext()
{
    auto const& options = m_server->m_options;
    co_await waitToReadNext();
    if (m_isEnding)
        co_return false;
    if (m_stream.received.isEmpty()) {
        m_isReceiving = true;
        if (isIdle()) {
            armIdleTimeout(options.idleTimeout);
            m_stream.received.shrinkIfEmpty();
            setWait(ClientWait::Idle);
        }
        auto const error = co_await m_stream.receive(firstReadSize);
        m_isReceiving = false;
        m_watchdogs.read->disarm();
        if (error) {
            endAfterCallerClosed();
            co_return false;
        }
    }
    armClose(options.headerTimeout);
    auto const request = std::make_shared<Request>(*m_server, m_stream);
    m_isReadingHead = true;
    noteReadingWait();
    auto head = co_await request->reader.readHead();
    m_isReadingHead = false;
    m_watchdogs.read->disarm();
    if (m_requestsInProgress.empty())
        setWait(ClientWait::Nothing);
    checkLimits(*request, head);
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
    SessionCallbacks callbacks { [this] { noteChange(); }, [this] { endAfterCallerClosed(); }, std::move(mustClose),
        [this](ClientWait wait) { noteExchangeWait(wait); },
        [this](ClientLimit limit) { m_server->noteLimit(limit, m_address); } };
    request->exchange.emplace(
        m_stream, request->reader, takeValue(std::move(head)), m_watchdogs, options, m_strand, std::move(callbacks));
    if (m_server->m_closesAfterResponses)
        request->exchange->closeAfterResponse();
    if (!m_requestsInProgress.empty()) {
        request->exchange->holdForEarlierResponses();
        request->beginAhead();
    }
    m_requestsInProgress.push_back(request);
    asio::co_spawn(
        m_strand, [self = shared_from_this(), request]() -> awaitable<void> { co_await self->serve(*request); },
        asio::detached);
    co_return true;
}

void Server::Session::checkLimits(Request& request, Result<RequestHead>& head)
{
    if (isError(head)) {
        if (errorOf(head).kind == ErrorKind::HeaderTooLarge)
            m_server->noteLimit(ClientLimit::Header, m_address);
        return;
    }
    auto const bytes = headMemory(valueOf(head));
    if (bytes <= freeHeadBytes)
        return;
    if (m_server->tryTakeHeadMemory(bytes)) {
        request.headMemoryBytes = bytes;
        return;
    }
    m_server->noteLimit(ClientLimit::HeadMemory, m_address);
    head = Error { ErrorKind::QueueFull, "no memory for the head" };
}

awaitable<void> Server::Session::serve(Request& request)
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
    else if (!m_requestsInProgress.empty()) {
        m_requestsInProgress.front()->endAhead();
        m_requestsInProgress.front()->exchange->noteEarlierResponsesSent();
    }
    if (isIdle())
        armIdleTimeout(m_server->m_options.idleTimeout);
    noteReadingWait();
    // The response may have started before the server began to close connections.
    if (m_server->m_closesIdleConnections)
        closeIfIdle();
    noteChange();
}

void Server::Session::dropRequests()
{
    m_isEnding = true;
    // drop() may finish a request, which removes it from m_requestsInProgress.
    auto const requests = m_requestsInProgress;
    for (auto const& request : requests)
        request->exchange->drop();
    noteChange();
}

void Server::Session::endAfterCallerClosed()
{
    m_lingersBeforeClose = false;
    dropRequests();
}

void Server::Session::endAfterResponse()
{
    dropRequests();
    ErrorCode ignored;
    m_stream.socket.cancel(ignored);
}

awaitable<bool> Server::Session::discardBody(ServerExchange& exchange)
{
    std::array<char, 4096> buffer {};
    size_t discarded = 0;
    // No other response is written meanwhile, since a request behind this body has not been read.
    m_watchdogs.write->arm(Core::monotonicNow() + lingerTimeout, [&stream = m_stream] { stream.close(); });
    while (!exchange.isBodyFinished() && discarded <= maxDiscardedBody) {
        auto const size = co_await exchange.readBody(buffer);
        if (isError(size))
            break;
        discarded += valueOf(size);
    }
    m_watchdogs.write->disarm();
    co_return exchange.isBodyFinished();
}

awaitable<void> Server::Session::sendErrorResponse(Error error)
{
    if (error.kind == ErrorKind::CallerGone)
        co_return;
    auto response = errorResponse(error, Core::RequestOutcome::NotRun);
    response.head.keepAlive = false;
    response.head.contentLength = response.body.size();
    auto const text = serialize(response.head) + response.body;
    armClose(lingerTimeout);
    setWait(ClientWait::Close);
    co_await asio::async_write(m_stream.socket, asio::buffer(text), useTuple);
    co_await lingerAndClose();
}

void Server::Session::lingerUntil(Core::Instant until)
{
    auto const now = Core::monotonicNow();
    bool const isDelivering = updateDelivery(now);
    setDelivering(isDelivering);
    if (isDelivering || now < until)
        m_watchdogs.read->arm(now + deliveryCheckInterval, [this, until] { lingerUntil(until); });
    else
        m_stream.close();
}

awaitable<void> Server::Session::lingerAndClose()
{
    ErrorCode ignored;
    m_stream.socket.shutdown(tcp::socket::shutdown_send, ignored);
    lingerUntil(Core::monotonicNow() + lingerTimeout);
    setWait(ClientWait::Close);
    std::array<char, 4096> buffer {};
    while (true) {
        auto const [error, size] = co_await m_stream.socket.async_read_some(asio::buffer(buffer), useTuple);
        if (error)
            co_return;
    }
}

}
