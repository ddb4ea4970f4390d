#pragma once

#include <LibHTTP/HTTP.h>
#include <optional>
#include <string>

namespace Comfreysail::Daemon {

struct BufferedResponse {
    HTTP::ResponseHead head;
    std::string body;
};

/// Sends a GET request and reads the whole response into memory. Connects first if the connection is new. Returns
/// std::nullopt if there is no complete response by the deadline, if its body is larger than `maxBodyBytes`, or if it
/// carries a request id: such a response is a late one to a request that used the connection before. The connection is
/// returned to the pool or closed.
HTTP::awaitable<std::optional<BufferedResponse>> bufferedGet(HTTP::ConnectionPool&,
    std::shared_ptr<HTTP::ClientConnection>, std::string target, size_t maxBodyBytes, Core::Instant deadline);

}
