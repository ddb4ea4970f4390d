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
/// std::nullopt if there is no complete response by the deadline. The connection is returned to the pool or closed.
HTTP::awaitable<std::optional<BufferedResponse>> bufferedGet(
    HTTP::ConnectionPool&, std::shared_ptr<HTTP::ClientConnection>, std::string target, Core::Instant deadline);

}
