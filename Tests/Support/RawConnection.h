#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace Comfreysail::Tests {

/// A response as it came over the connection.
struct RawResponse {
    std::string head; ///< With the empty line; empty when no complete head arrived.
    std::string body; ///< Decoded when chunked.
    bool isComplete { false };

    unsigned status() const;
    /// Value of a header field, or an empty string. The name is compared exactly as the daemon writes it.
    std::string field(std::string_view name) const;
};

/// A blocking TCP connection on which a test sends and reads any bytes, valid or not.
class RawConnection {
public:
    explicit RawConnection(int descriptor);
    static RawConnection connectTo(uint16_t port);
    ~RawConnection();
    RawConnection(RawConnection&&) noexcept;
    RawConnection& operator=(RawConnection&&) = delete;
    RawConnection(RawConnection const&) = delete;
    RawConnection& operator=(RawConnection const&) = delete;

    bool send(std::string_view);

    /// Reads up to and including the delimiter; what arrived so far when the connection ends or the time is over.
    std::string readUntil(std::string_view delimiter);
    std::string readExactly(size_t count);
    /// Reads one response. `hasBody` is false for a response to HEAD.
    RawResponse readResponse(bool hasBody = true);

    /// True when the other side closes or resets within the time.
    bool waitForEnd(std::chrono::milliseconds);

    void close();
    /// Closes with a reset instead of an orderly end.
    void reset();
    void setTimeout(std::chrono::milliseconds);

private:
    bool receiveMore();
    std::string readChunkedBody(bool& isComplete);

    int m_descriptor;
    std::string m_received;
};

/// A socket that listens on a free port of 127.0.0.1.
struct Listener {
    int descriptor { -1 };
    uint16_t port { 0 };
};

Listener listenOnFreePort();

}
