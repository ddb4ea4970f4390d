#pragma once

#include <cstdint>

namespace Comfreysail::Routing {

/// How a send to a target ended.
enum class SendOutcome : uint8_t {
    Answered,       ///< A complete response with a status below 500.
    ServerError,    ///< A complete response with status 500 or above, other than Shed.
    Shed,           ///< 503 with Comfreysail-Outcome: not-run.
    ConnectFailed,  ///< No connection could be opened.
    ConnectionLost, ///< The connection was closed before the complete response arrived.
    TimedOut,       ///< No complete response before the deadline.
    Cancelled,      ///< The caller disconnected, which says nothing about the target.
};

}
