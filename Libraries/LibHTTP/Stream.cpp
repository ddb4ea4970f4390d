#include <LibHTTP/Stream.h>

#include <algorithm>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Comfreysail::HTTP {

namespace {

// Storage up to this size is kept for the next request.
constexpr size_t maxIdleBytes = size_t { 8 } * 1024;

}

void ReceiveBuffer::consume(size_t count)
{
    m_begin += std::min(count, m_end - m_begin);
    if (m_begin == m_end)
        m_begin = m_end = 0;
}

std::span<char> ReceiveBuffer::prepare(size_t count)
{
    if (m_bytes.size() - m_end < count && m_begin > 0) {
        std::copy(m_bytes.begin() + static_cast<ptrdiff_t>(m_begin), m_bytes.begin() + static_cast<ptrdiff_t>(m_end),
            m_bytes.begin());
        m_end -= m_begin;
        m_begin = 0;
    }
    if (m_bytes.size() - m_end < count)
        m_bytes.resize(m_end + count);
    return { m_bytes.data() + m_end, count };
}

void ReceiveBuffer::shrinkIfEmpty()
{
    if (isEmpty() && m_bytes.capacity() > maxIdleBytes)
        std::vector<char>().swap(m_bytes);
}

awaitable<ErrorCode> Stream::receive(size_t count)
{
    auto const space = received.prepare(count);
    auto const [error, size] = co_await socket.async_read_some(asio::buffer(space.data(), space.size()), useTuple);
    if (!error)
        received.commit(size);
    co_return error;
}

void Stream::close()
{
    ErrorCode ignored;
    socket.close(ignored);
}

void Stream::reset()
{
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

bool Stream::mayHaveBeenReset()
{
    if (hasWriteFailed || !socket.is_open())
        return true;
    // After an orderly close this side could still send.
    pollfd entry { socket.native_handle(), POLLIN, 0 };
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLHUP | POLLERR)) != 0;
}

bool Stream::isOpenWithoutInput()
{
    if (!received.isEmpty() || !socket.is_open())
        return false;
    char byte = 0;
    auto const count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

size_t Stream::undeliveredBytes()
{
    int count = 0;
    bool const isKnown = socket.is_open() && ::ioctl(socket.native_handle(), SIOCOUTQ, &count) == 0;
    return isKnown && count > 0 ? static_cast<size_t>(count) : 0;
}

bool Stream::isClosedByPeer()
{
    if (!socket.is_open())
        return true;
    pollfd entry { socket.native_handle(), POLLRDHUP, 0 };
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}
