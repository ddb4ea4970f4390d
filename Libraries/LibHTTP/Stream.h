#pragma once

#include <LibHTTP/Asio.h>
#include <span>
#include <string_view>
#include <vector>

namespace Comfreysail::HTTP {

/// Bytes that arrived and are not yet consumed. Grows up to what prepare() asks for and is reused.
class ReceiveBuffer {
public:
    std::string_view data() const { return { m_bytes.data() + m_begin, m_end - m_begin }; }
    bool isEmpty() const { return m_begin == m_end; }
    void consume(size_t count);

    /// Space for at least `count` more bytes.
    std::span<char> prepare(size_t count);
    void commit(size_t count) { m_end += count; }

private:
    std::vector<char> m_bytes;
    size_t m_begin { 0 };
    size_t m_end { 0 };
};

/// One TCP connection and the bytes that were received beyond the current message. Not safe for several threads: all
/// operations run on the strand of the session that uses it.
struct Stream {
    explicit Stream(tcp::socket socket)
        : socket(std::move(socket))
    {
    }

    tcp::socket socket;
    ReceiveBuffer received;

    /// Receives up to `count` bytes into `received`. Returns an error at the end of the stream.
    awaitable<ErrorCode> receive(size_t count);

    /// Closes at once; operations in progress end with an error.
    void close();

    /// Closes with a reset, so that the other side cannot take a short body for a complete one.
    void reset();

    /// True when the other side has neither closed nor sent anything. For idle connections only.
    bool isQuiet();
};

}
