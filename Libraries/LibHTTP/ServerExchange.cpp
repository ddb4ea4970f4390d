#include <LibHTTP/ServerExchange.h>

#include <array>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>
#include <utility>

namespace Comfreysail::HTTP {

using Core::Result;

namespace {

constexpr size_t pipelinedReadSize = size_t { 4 } * 1024;
// Limits the pipelined bytes that are buffered for one connection; the rest is read after the response.
constexpr size_t maxPipelinedBytes = size_t { 16 } * 1024;
// Without a read, nothing reports that the client has closed. Its work at the target has to end within 0.5 s.
constexpr auto closeCheckInterval = std::chrono::milliseconds(200);
// Asio writes at most this many bytes at a time if a completion condition returns it.
constexpr size_t maxWriteBytes = size_t { 64 } * 1024;

}

struct ServerExchange::Watch {
    explicit Watch(asio::any_io_executor const& strand)
        : closeCheck(strand)
    {
    }

    asio::steady_timer closeCheck;
    asio::cancellation_signal signal;
    std::function<void()> onGone;
    bool isStopped { false };
};

ServerExchange::ServerExchange(Stream& stream, RequestReader& reader, RequestHead head,
    ExchangeWatchdogs const& watchdogs, ServerOptions const& options, asio::any_io_executor strand,
    SessionCallbacks sessionCallbacks)
    : m_stream(stream)
    , m_reader(reader)
    , m_head(std::move(head))
    , m_watchdogs(watchdogs)
    , m_options(options)
    , m_strand(std::move(strand))
    , m_sessionCallbacks(std::move(sessionCallbacks))
    , m_earlierResponsesEvent(m_strand, asio::steady_timer::time_point::max())
    , m_sendRate(options.minSendRate, options.stallTimeout)
    , m_readRate(options.minReadRate, options.stallTimeout)
    , m_keepAlive(m_head.keepAlive)
    , m_mustSendContinue(m_head.expectsContinue && m_head.hasBody())
{
}

ServerExchange::~ServerExchange() { stopWatching(); }

awaitable<Result<size_t>> ServerExchange::readBody(std::span<char> into)
{
    if (m_mustSendContinue && !m_isStarted) {
        m_mustSendContinue = false;
        bool isSent = true;
        if (m_stream.received.isEmpty())
            isSent = co_await write("HTTP/1.1 100 Continue\r\n\r\n");
        if (!isSent)
            co_return Core::Error { Core::ErrorKind::CallerGone, "the caller closed before its body" };
    }
    if (m_options.receivesBodiesFirst && !m_isReceivingBody && !isBodyFinished()) {
        m_isReceivingBody = true;
        m_sessionCallbacks.onWait(ClientWait::Body);
    }
    m_watchdogs.read->arm(m_sendRate.begin(Core::monotonicNow()), [this] {
        m_sessionCallbacks.onLimit(ClientLimit::SendRate);
        m_stream.reset();
    });
    m_isReading = true;
    auto result = co_await m_reader.readBody(into);
    m_isReading = false;
    m_watchdogs.read->disarm();
    auto const now = Core::monotonicNow();
    if (!isError(result))
        m_sendRate.note(valueOf(result), now);
    m_sendRate.end(now);
    if (m_isReceivingBody && (isError(result) || isBodyFinished())) {
        m_isReceivingBody = false;
        m_sessionCallbacks.onWait(ClientWait::Nothing);
    }
    co_return result;
}

void ServerExchange::cancelPendingRead()
{
    if (!m_isReading)
        return;
    m_keepAlive = false;
    ErrorCode ignored;
    // An earlier response may still be in transit, so only the receiving side may be closed then.
    if (m_areEarlierResponsesSent)
        m_stream.socket.cancel(ignored);
    else
        m_stream.socket.shutdown(tcp::socket::shutdown_receive, ignored);
}

bool ServerExchange::sendsBody() const { return m_head.method != "HEAD" && !m_statusForbidsBody; }

void ServerExchange::startResponse(ResponseHead head)
{
    m_keepAlive = m_keepAlive && head.keepAlive && !head.endsWithConnection && !m_sessionCallbacks.mustClose();
    // A caller that still waits for "100 Continue" may or may not send its body, so the start of the next request is
    // unknown.
    if (m_mustSendContinue)
        m_keepAlive = false;
    head.keepAlive = m_keepAlive;
    m_statusForbidsBody = statusForbidsBody(head.status);
    if (sendsBody()) {
        m_isChunked = head.chunked;
        if (!head.chunked && !head.contentLength && !head.endsWithConnection)
            head.contentLength = 0;
        m_bodyBytesLeft = head.chunked ? std::nullopt : head.contentLength;
    } else if (head.status == 204) {
        head.chunked = false;
        head.contentLength.reset();
    }
    m_unsentHead = serialize(head);
    m_isStarted = true;
}

awaitable<bool> ServerExchange::write(std::string_view first, std::string_view second, std::string_view third)
{
    bool const isDeliverable = co_await waitForEarlierResponses();
    if (!isDeliverable || !m_stream.socket.is_open())
        co_return false;
    m_sessionCallbacks.onWait(ClientWait::Response);
    m_watchdogs.write->arm(m_readRate.begin(Core::monotonicNow()), [this] {
        m_sessionCallbacks.onLimit(ClientLimit::ReadRate);
        m_stream.reset();
    });
    std::array<asio::const_buffer, 3> const buffers { asio::buffer(first.data(), first.size()),
        asio::buffer(second.data(), second.size()), asio::buffer(third.data(), third.size()) };
    size_t noted = 0;
    // Called after each part of the data. Each part that the client takes is progress.
    auto const noteProgress = [this, &noted](ErrorCode const& error, size_t written) {
        if (written > noted)
            m_watchdogs.write->extend(m_readRate.note(written - std::exchange(noted, written), Core::monotonicNow()));
        return error ? size_t { 0 } : maxWriteBytes;
    };
    auto const [error, size] = co_await asio::async_write(m_stream.socket, buffers, noteProgress, useTuple);
    m_watchdogs.write->disarm();
    m_readRate.end(Core::monotonicNow());
    m_sessionCallbacks.onWait(ClientWait::Nothing);
    co_return !error;
}

awaitable<bool> ServerExchange::flush()
{
    if (m_unsentHead.empty())
        co_return !m_isAborted;
    auto const head = std::move(m_unsentHead);
    m_unsentHead.clear();
    bool const isSent = co_await write(head);
    co_return isSent;
}

awaitable<bool> ServerExchange::sendBody(std::string_view data)
{
    if (!sendsBody() || data.empty()) {
        bool const isFlushed = co_await flush();
        co_return isFlushed;
    }
    if (m_bodyBytesLeft) {
        if (data.size() > *m_bodyBytesLeft)
            co_return false;
        *m_bodyBytesLeft -= data.size();
    }
    auto prefix = std::move(m_unsentHead);
    m_unsentHead.clear();
    if (m_isChunked)
        prefix.append(chunkPrefix(data.size()));
    bool const isSent = co_await write(prefix, data, m_isChunked ? chunkSuffix : std::string_view());
    co_return isSent;
}

awaitable<bool> ServerExchange::finish()
{
    if (m_bodyBytesLeft.value_or(0) > 0) {
        abort();
        co_return false;
    }
    auto tail = std::move(m_unsentHead);
    m_unsentHead.clear();
    if (m_isChunked && sendsBody())
        tail.append(lastChunk);
    bool isSent = true;
    if (!tail.empty())
        isSent = co_await write(tail);
    if (!isSent)
        co_return false;
    m_isFinished = !m_isAborted;
    co_return m_isFinished;
}

awaitable<bool> ServerExchange::respond(ResponseHead head, std::string_view body)
{
    head.contentLength = body.size();
    startResponse(std::move(head));
    bool const isSent = co_await sendBody(body);
    if (!isSent)
        co_return false;
    bool const isFinished = co_await finish();
    co_return isFinished;
}

void ServerExchange::abort()
{
    if (m_isAborted)
        return;
    drop();
    m_stream.reset();
}

void ServerExchange::drop()
{
    m_isAborted = true;
    m_earlierResponsesEvent.cancel();
    // onGone may call stopWatching(), which releases the watch that owns it.
    auto const watch = m_watch;
    if (watch && watch->onGone)
        std::exchange(watch->onGone, nullptr)();
}

void ServerExchange::noteEarlierResponsesSent()
{
    m_areEarlierResponsesSent = true;
    m_earlierResponsesEvent.cancel();
}

awaitable<bool> ServerExchange::waitForEarlierResponses()
{
    while (!m_areEarlierResponsesSent && !m_isAborted)
        co_await m_earlierResponsesEvent.async_wait(useTuple);
    co_return !m_isAborted;
}

void ServerExchange::watchCaller(std::function<void()> onGone, PipeliningMode mode)
{
    stopWatching();
    m_watch = std::make_shared<Watch>(m_strand);
    m_watch->onGone = std::move(onGone);
    m_isReadingAhead = mode == PipeliningMode::ReadAhead && m_keepAlive;
    if (m_isReadingAhead)
        m_sessionCallbacks.onReadAhead();
    else
        waitForCallerInput();
}

void ServerExchange::waitForCallerInput()
{
    auto handler = [this, watch = m_watch](ErrorCode error) {
        if (watch->isStopped || error)
            return;
        auto const space = m_stream.received.prepare(pipelinedReadSize);
        auto const count = ::recv(m_stream.socket.native_handle(), space.data(), space.size(), MSG_DONTWAIT);
        if (count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
            m_sessionCallbacks.onCallerGone();
            return;
        }
        if (count > 0)
            m_stream.received.commit(static_cast<size_t>(count));
        if (m_stream.received.data().size() < maxPipelinedBytes)
            waitForCallerInput();
        else
            waitForCallerClose();
    };
    m_stream.socket.async_wait(tcp::socket::wait_read,
        asio::bind_cancellation_slot(m_watch->signal.slot(), asio::bind_executor(m_strand, std::move(handler))));
}

void ServerExchange::waitForCallerClose()
{
    m_watch->closeCheck.expires_after(closeCheckInterval);
    m_watch->closeCheck.async_wait([this, watch = m_watch](ErrorCode error) {
        if (watch->isStopped || error)
            return;
        if (m_stream.isClosedByPeer())
            m_sessionCallbacks.onCallerGone();
        else
            waitForCallerClose();
    });
}

void ServerExchange::stopWatching()
{
    if (!m_watch)
        return;
    m_watch->isStopped = true;
    m_watch->onGone = nullptr;
    m_watch->signal.emit(asio::cancellation_type::terminal);
    m_watch->closeCheck.cancel();
    m_watch.reset();
}

}
