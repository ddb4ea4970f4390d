#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace Comfreysail::Tests {

/// A response as it was received.
struct RawResponse {
    std::string head; ///< Status line and header up to the empty line; empty if no complete head arrived.
    std::string body; ///< The decoded body if the transfer encoding is chunked.
    bool isComplete { false };

    unsigned status() const;
    /// Returns the value of a header field, or an empty string. The name is case-sensitive.
    std::string field(std::string_view name) const;
};

/// A blocking TCP connection on which a test can send and read arbitrary bytes. Reads and writes time out after 5 s
/// unless setTimeout() changes it.
class RawConnection {
public:
    explicit RawConnection(int descriptor);
    /// `receiveBufferBytes` is SO_RCVBUF; 0 for the default of the system.
    static RawConnection connectTo(uint16_t port, int receiveBufferBytes = 0);
    ~RawConnection();
    RawConnection(RawConnection&&) noexcept;
    RawConnection& operator=(RawConnection&&) = delete;
    RawConnection(RawConnection const&) = delete;
    RawConnection& operator=(RawConnection const&) = delete;

    bool send(std::string_view);

    /// Reads up to and including the delimiter. If the connection ends or the timeout expires first, returns what has
    /// arrived.
    std::string readUntil(std::string_view delimiter);
    std::string readExactly(size_t count);
    /// Reads one response. `hasBody` must be false for a response to HEAD.
    RawResponse readResponse(bool hasBody = true);
    /// Reads one response and drops its body, which may be too large to keep.
    RawResponse skipResponse();

    /// Returns true if the peer closes or resets the connection within the timeout. Discards what it receives.
    bool waitForEnd(std::chrono::milliseconds);

    void close();
    /// Ends what this side sends; the other direction stays open.
    void closeSendingSide();
    /// Closes the connection with a TCP reset.
    void reset();
    void setTimeout(std::chrono::milliseconds);

private:
    bool receiveMore();
    enum class BodyUse : uint8_t {
        Keep,
        Drop,
    };

    RawResponse readResponse(bool hasBody, BodyUse);
    std::string readChunkedBody(bool& isComplete, BodyUse);
    /// Drops up to `count` bytes of what is received. Returns how many it has dropped.
    size_t skip(size_t count);

    int m_descriptor;
    std::string m_received;
};

/// A socket that listens on a free port of 127.0.0.1. The caller closes the descriptor.
struct Listener {
    int descriptor { -1 };
    uint16_t port { 0 };
};

Listener listenOnFreePort();
/// Listens on this port of 127.0.0.1; 0 lets the system choose one.
Listener listenOn(uint16_t port);

}
