#include <LibHTTP/ClientConnection.h>

#include <LibHTTP/KeepAlive.h>
#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>
#include <system_error>
#include <utility>

namespace Comfreysail::HTTP {

using Core::Empty;
using Core::Error;
using Core::ErrorKind;
using Core::Result;

namespace {

// In bytes. A head and body up to this size always fit into the socket buffers of a connection with nothing else in
// flight, so sending them before reading cannot block.
constexpr size_t maxInlineSendBytes = 16 * 1024;
constexpr size_t bodyBufferSize = 64 * 1024;
// A connection that has carried so many ids is replaced, which bounds their memory at 2 KiB.
constexpr size_t maxRequestIds = 256;

bool isLocalError(ErrorCode const& error)
{
    return error == std::errc::too_many_files_open || error == std::errc::too_many_files_open_in_system
        || error == std::errc::no_buffer_space || error == std::errc::not_enough_memory
        || error == std::errc::address_not_available;
}

}

ClientConnection::ClientConnection(
    asio::any_io_executor const& executor, Endpoint endpoint, ReadLimits limits, OpenCount openCount)
    : m_endpoint(std::move(endpoint))
    , m_limits(limits)
    , m_openCount(std::move(openCount))
    , m_stream(tcp::socket(executor))
{
    if (m_openCount)
        ++*m_openCount;
}

void ClientConnection::leaveCount()
{
    if (m_openCount)
        --*std::exchange(m_openCount, nullptr);
}

awaitable<Result<Empty>> ClientConnection::connect()
{
    ErrorCode error;
    auto const address = asio::ip::make_address(m_endpoint.address, error);
    if (error)
        co_return Error { ErrorKind::ConnectFailed, m_endpoint.address + " is not an IP address" };
    tcp::endpoint const endpoint(address, m_endpoint.port);
    auto const [connectError] = co_await m_stream.socket.async_connect(endpoint, useTuple);
    m_hasFailedLocally = isLocalError(connectError);
    m_wasRefused = connectError == asio::error::connection_refused;
    if (connectError || m_isClosed)
        co_return Error { ErrorKind::ConnectFailed, connectError.message() };
    m_stream.socket.set_option(tcp::no_delay(true), error);
    m_openedAt = Core::monotonicNow();
    m_localPort = m_stream.socket.local_endpoint(error).port();
    co_return Empty {};
}

awaitable<bool> ClientConnection::write(std::string_view first, std::string_view second, std::string_view third)
{
    std::array<asio::const_buffer, 3> const buffers { asio::buffer(first.data(), first.size()),
        asio::buffer(second.data(), second.size()), asio::buffer(third.data(), third.size()) };
    auto const [error, size] = co_await asio::async_write(m_stream.socket, buffers, useTuple);
    if (size > 0)
        m_hasSent = true;
    if (error)
        m_stream.hasWriteFailed = true;
    co_return !error;
}

void ClientConnection::spawn(std::function<awaitable<void>()> sender, asio::any_io_executor const& executor)
{
    m_isSending = true;
    m_senderDone = std::make_shared<asio::steady_timer>(executor, asio::steady_timer::time_point::max());
    asio::co_spawn(
        executor,
        [self = shared_from_this(), sender = std::move(sender)]() -> awaitable<void> {
            co_await sender();
            self->m_isSending = false;
            self->m_senderDone->cancel();
        },
        asio::detached);
}

awaitable<Result<Empty>> ClientConnection::send(RequestHead const& head, std::shared_ptr<std::string const> body)
{
    m_reader = std::make_unique<ResponseReader>(m_stream, m_limits);
    m_hasSent = false;
    auto const text = serialize(head);
    bool const isInline = text.size() + body->size() <= maxInlineSendBytes;
    bool const isWritten = co_await write(text, isInline ? std::string_view(*body) : std::string_view());
    if (!isWritten && !m_hasSent)
        co_return Error { ErrorKind::ConnectFailed, "the target closed the connection before the request" };
    if (isWritten && !isInline) {
        auto sender = [this, body = std::move(body)]() -> awaitable<void> { return sendBody(body); };
        spawn(std::move(sender), co_await asio::this_coro::executor);
    }
    co_return Empty {};
}

awaitable<void> ClientConnection::sendBody(std::shared_ptr<std::string const> body) { co_await write(*body); }

awaitable<Result<Empty>> ClientConnection::sendStreaming(RequestHead const& head, BodySource source)
{
    m_reader = std::make_unique<ResponseReader>(m_stream, m_limits);
    m_hasSent = false;
    auto const text = serialize(head);
    bool const isWritten = co_await write(text);
    if (!isWritten && !m_hasSent)
        co_return Error { ErrorKind::ConnectFailed, "the target closed the connection before the request" };
    if (isWritten) {
        auto sender = [this, source = std::move(source), chunked = head.chunked]() -> awaitable<void> {
            return sendBodyFrom(source, chunked);
        };
        spawn(std::move(sender), co_await asio::this_coro::executor);
    }
    co_return Empty {};
}

awaitable<void> ClientConnection::sendBodyFrom(BodySource source, bool chunked)
{
    std::vector<char> buffer(bodyBufferSize);
    while (!m_isClosed) {
        auto const size = co_await source(buffer);
        if (m_isClosed)
            co_return;
        if (isError(size)) {
            close();
            co_return;
        }
        std::string_view const piece(buffer.data(), valueOf(size));
        bool isWritten = true;
        if (piece.empty()) {
            if (chunked)
                co_await write(lastChunk);
            co_return;
        }
        if (chunked) {
            auto const prefix = chunkPrefix(piece.size());
            isWritten = co_await write(prefix, piece, chunkSuffix);
        } else {
            isWritten = co_await write(piece);
        }
        // The target may have responded and closed the connection, so readHead() decides the result, not this write.
        if (!isWritten)
            co_return;
    }
}

awaitable<void> ClientConnection::waitForSender()
{
    if (m_isSending)
        co_await m_senderDone->async_wait(useTuple);
}

awaitable<Result<ResponseHead>> ClientConnection::readHead(std::string_view requestMethod)
{
    auto head = co_await m_reader->readHead(requestMethod);
    m_targetKeepsAlive = !isError(head) && valueOf(head).keepAlive;
    m_announcedIdleTimeout = isError(head) ? std::nullopt : keepAliveTimeout(valueOf(head).fields);
    co_return head;
}

awaitable<Result<size_t>> ClientConnection::readBody(std::span<char> into) { return m_reader->readBody(into); }

void ClientConnection::close()
{
    m_isClosed = true;
    m_stream.close();
    leaveCount();
}

bool ClientConnection::hasCarried(uint64_t requestIdHash) const
{
    return std::ranges::find(m_requestIds, requestIdHash) != m_requestIds.end();
}

bool ClientConnection::isReusable() const
{
    return m_requestIds.size() < maxRequestIds && m_targetKeepsAlive && !m_isClosed && !m_isSending && m_reader
        && m_reader->isFinished() && m_stream.received.isEmpty();
}

}
