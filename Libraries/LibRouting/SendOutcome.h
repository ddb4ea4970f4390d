#pragma once

#include <cstdint>

namespace Comfreysail::Routing {

/// How a send to a target ended.
enum class SendOutcome : uint8_t {
    Answered,       ///< A whole answer with a status below 500.
    ServerError,    ///< A whole answer with status 500 or above that is not a shed.
    Shed,           ///< 503 with Comfreysail-Outcome: not-run.
    ConnectFailed,  ///< No connection could be opened.
    ConnectionLost, ///< The connection ended before the whole answer arrived.
    TimedOut,       ///< No whole answer before the deadline.
    Cancelled,      ///< The caller went away; says nothing about the target.
};

}
