#pragma once

#include <LibHTTP/HTTP.h>
#include <optional>
#include <string>

namespace Comfreysail::Daemon {

struct SmallAnswer {
    HTTP::ResponseHead head;
    std::string body;
};

/// Sends a GET request on the connection, which is opened first when it is new, and reads the whole answer into memory.
/// Nothing when there is no whole answer until the deadline. The connection goes back to the pool or is closed.
HTTP::awaitable<std::optional<SmallAnswer>> smallGet(
    HTTP::ConnectionPool&, std::shared_ptr<HTTP::ClientConnection>, std::string target, Core::Instant deadline);

}
