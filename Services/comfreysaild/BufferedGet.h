#pragma once

#include <LibHTTP/HTTP.h>
#include <functional>
#include <optional>
#include <string>

namespace Comfreysail::Daemon {

struct BufferedResponse {
    HTTP::ResponseHead head;
    std::string body;
};

struct BufferedGetLimits {
    size_t maxBodyBytes { 0 };
    Core::Instant deadline {}; ///< The head has to arrive before it.
    /// A body that keeps arriving is read until this long after the deadline. Over a narrow link a large body takes
    /// longer than an unresponsive daemon may be waited for, and asking another one would start from the beginning.
    Core::Duration transferTime {};
    /// How many steps of the wait do not count if this process got no processor time, see HTTP::SteppedWait.
    unsigned maxUncountedSteps { 0 };
    /// Called once, when the deadline has passed on an open connection. Returns a later deadline, or std::nullopt to
    /// end the exchange. Without it the exchange ends.
    std::function<std::optional<Core::Instant>()> onDeadline {};
};

/// How far an exchange got.
struct BufferedExchange {
    bool hasHead { false }; ///< The head of a response arrived.
    /// Upper bound of the time for which the head waited to be read, including suspensions of the VM.
    Core::Duration headWait {};
    size_t bodyBytes { 0 };                   ///< Bytes of its body that arrived.
    Core::Duration bodyTime {};               ///< Time from the head to the end, including suspensions of the VM.
    std::optional<BufferedResponse> response; ///< Set if the response is valid and complete.
};

/// Sends a GET request and reads the whole response into memory. Connects first if the connection is new. There is no
/// response in the result if none was complete within the limits, or if it carries a request id: such a response is a
/// late one to a request that used the connection before. The connection is returned to the pool or closed.
HTTP::awaitable<BufferedExchange> bufferedGet(
    HTTP::ConnectionPool&, std::shared_ptr<HTTP::ClientConnection>, std::string target, BufferedGetLimits);

/// The same with a POST request.
HTTP::awaitable<BufferedExchange> bufferedPost(HTTP::ConnectionPool&, std::shared_ptr<HTTP::ClientConnection>,
    std::string target, std::string body, BufferedGetLimits);

}
