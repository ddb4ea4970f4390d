#pragma once

#include <LibHTTP/HTTP.h>
#include <optional>
#include <string>

namespace Comfreysail::Daemon {

struct BufferedResponse {
    HTTP::ResponseHead head;
    std::string body;
};

/// How far an exchange got.
struct BufferedExchange {
    bool hasHead { false };                   ///< The head of a response arrived.
    size_t bodyBytes { 0 };                   ///< Bytes of its body that arrived.
    std::optional<BufferedResponse> response; ///< Set if the response is valid and complete.
};

/// Sends a GET request and reads the whole response into memory. Connects first if the connection is new. There is no
/// response in the result if none was complete by the deadline, if its body is larger than `maxBodyBytes`, or if it
/// carries a request id: such a response is a late one to a request that used the connection before. The connection is
/// returned to the pool or closed.
HTTP::awaitable<BufferedExchange> bufferedGet(HTTP::ConnectionPool&, std::shared_ptr<HTTP::ClientConnection>,
    std::string target, size_t maxBodyBytes, Core::Instant deadline);

}
