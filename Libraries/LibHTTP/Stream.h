#pragma once

#include <LibHTTP/Asio.h>
#include <span>
#include <string_view>
#include <vector>

namespace Comfreysail::HTTP {

/// Received bytes that are not yet consumed. The storage grows as prepare() requires and is reused.
class ReceiveBuffer {
public:
    std::string_view data() const { return { m_bytes.data() + m_begin, m_end - m_begin }; }
    bool isEmpty() const { return m_begin == m_end; }
    void consume(size_t count);

    /// Returns space for `count` more bytes. commit() adds the bytes written there.
    std::span<char> prepare(size_t count);
    void commit(size_t count) { m_end += count; }
    /// Frees a large storage if no bytes are left in it.
    void shrinkIfEmpty();

private:
    std::vector<char> m_bytes;
    size_t m_begin { 0 };
    size_t m_end { 0 };
};

/// A TCP connection and its received but unconsumed bytes. Not thread-safe: all operations run on the strand of the
/// session that uses it.
struct Stream {
    explicit Stream(tcp::socket socket)
        : socket(std::move(socket))
    {
    }

    tcp::socket socket;
    ReceiveBuffer received;
    bool hasWriteFailed { false }; ///< A write failed, so it may have taken the error of a reset from the socket.

    /// Receives up to `count` bytes into `received`. Returns an error at the end of the stream.
    awaitable<ErrorCode> receive(size_t count);

    /// Closes immediately; pending operations fail.
    void close();

    /// Closes with a TCP reset, so that the other side cannot mistake a truncated body for a complete one.
    void reset();

    /// After the end of the stream: true if the other side may have reset the connection instead of closing it in
    /// order.
    bool mayHaveBeenReset();

    /// True if the other side has neither closed the connection nor sent any bytes. For idle connections only.
    bool isOpenWithoutInput();

    /// The number of sent bytes that the other side's system has not acknowledged. 0 if that is unknown.
    size_t undeliveredBytes();

    /// True if the other side has closed the connection or its sending side, even if received bytes are still unread.
    bool isClosedByPeer();
};

}
