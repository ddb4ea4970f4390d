#include "RawConnection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Comfreysail::Tests {

namespace {

constexpr auto defaultTimeout = std::chrono::seconds(5);

sockaddr_in loopback(uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

}

unsigned RawResponse::status() const
{
    return head.size() < 12 ? 0 : static_cast<unsigned>(std::stoul(head.substr(9, 3)));
}

std::string RawResponse::field(std::string_view name) const
{
    auto const start = head.find("\r\n" + std::string(name) + ": ");
    if (start == std::string::npos)
        return {};
    auto const valueStart = start + name.size() + 4;
    return head.substr(valueStart, head.find("\r\n", valueStart) - valueStart);
}

RawConnection::RawConnection(int descriptor)
    : m_descriptor(descriptor)
{
    setTimeout(defaultTimeout);
}

RawConnection::RawConnection(RawConnection&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_received(std::move(other.m_received))
{
}

RawConnection RawConnection::connectTo(uint16_t port, int receiveBufferBytes)
{
    RawConnection connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (receiveBufferBytes > 0)
        ::setsockopt(connection.m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    auto const address = loopback(port);
    if (::connect(connection.m_descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) != 0)
        throw std::runtime_error("cannot connect to port " + std::to_string(port));
    return connection;
}

RawConnection::~RawConnection() { close(); }

void RawConnection::setTimeout(std::chrono::milliseconds timeout)
{
    timeval const value { timeout.count() / 1000, timeout.count() % 1000 * 1000 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof(value));
}

bool RawConnection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        auto const count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<size_t>(count));
    }
    return true;
}

bool RawConnection::receiveMore()
{
    std::array<char, 65536> buffer {};
    auto const count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (count <= 0)
        return false;
    m_received.append(buffer.data(), static_cast<size_t>(count));
    return true;
}

std::string RawConnection::readUntil(std::string_view delimiter)
{
    size_t end = std::string::npos;
    while ((end = m_received.find(delimiter)) == std::string::npos) {
        if (!receiveMore())
            return std::exchange(m_received, {});
    }
    auto result = m_received.substr(0, end + delimiter.size());
    m_received.erase(0, result.size());
    return result;
}

std::string RawConnection::readExactly(size_t count)
{
    while (m_received.size() < count && receiveMore()) { }
    auto result = m_received.substr(0, count);
    m_received.erase(0, result.size());
    return result;
}

size_t RawConnection::skip(size_t count)
{
    size_t skipped = 0;
    while (skipped < count && (!m_received.empty() || receiveMore())) {
        auto const size = std::min(count - skipped, m_received.size());
        m_received.erase(0, size);
        skipped += size;
    }
    return skipped;
}

std::string RawConnection::readChunkedBody(bool& isComplete, BodyUse use)
{
    std::string body;
    while (true) {
        auto const line = readUntil("\r\n");
        if (!line.ends_with("\r\n"))
            return body;
        auto const size = std::stoul(line, nullptr, 16);
        std::string const chunk = use == BodyUse::Keep ? readExactly(size + 2) : std::string();
        auto const received = use == BodyUse::Keep ? chunk.size() : skip(size + 2);
        body.append(chunk.substr(0, size));
        if (received < size + 2)
            return body;
        if (size == 0) {
            isComplete = true;
            return body;
        }
    }
}

RawResponse RawConnection::readResponse(bool hasBody) { return readResponse(hasBody, BodyUse::Keep); }

RawResponse RawConnection::skipResponse() { return readResponse(true, BodyUse::Drop); }

RawResponse RawConnection::readResponse(bool hasBody, BodyUse use)
{
    RawResponse response;
    auto head = readUntil("\r\n\r\n");
    if (!head.ends_with("\r\n\r\n"))
        return response;
    response.head = std::move(head);
    if (!hasBody || response.status() < 200 || response.status() == 204) {
        response.isComplete = true;
    } else if (response.field("Transfer-Encoding") == "chunked") {
        response.body = readChunkedBody(response.isComplete, use);
    } else if (auto const text = response.field("Content-Length"); !text.empty()) {
        auto const length = std::stoul(text);
        if (use == BodyUse::Keep)
            response.body = readExactly(length);
        response.isComplete = (use == BodyUse::Keep ? response.body.size() : skip(length)) == length;
    }
    return response;
}

bool RawConnection::waitForEnd(std::chrono::milliseconds timeout)
{
    setTimeout(timeout);
    std::array<char, 4096> buffer {};
    while (true) {
        auto const count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }
}

void RawConnection::close()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

void RawConnection::closeSendingSide() { ::shutdown(m_descriptor, SHUT_WR); }

void RawConnection::reset()
{
    linger const option { 1, 0 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    close();
}

Listener listenOnFreePort() { return listenOn(0); }

Listener listenOn(uint16_t port)
{
    Listener listener;
    listener.descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // For a target that listens again while its earlier connections still occupy the port.
    int const reuse = 1;
    ::setsockopt(listener.descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    auto address = loopback(port);
    socklen_t size = sizeof(address);
    if (::bind(listener.descriptor, reinterpret_cast<sockaddr const*>(&address), size) != 0
        || ::listen(listener.descriptor, SOMAXCONN) != 0
        || ::getsockname(listener.descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        throw std::runtime_error("cannot listen on port " + std::to_string(port));
    listener.port = ntohs(address.sin_port);
    return listener;
}

}
