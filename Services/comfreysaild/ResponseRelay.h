#pragma once

#include "ResumableBody.h"
#include "UpstreamClient.h"
#include <functional>

namespace Comfreysail::Daemon {

enum class ResponseRelayResult : uint8_t {
    Complete,     ///< The whole response was sent to the caller.
    UpstreamLost, ///< The response ended early or was invalid; the caller's connection was reset.
    CallerGone,   ///< The caller does not read, or the request was stopped; the caller's connection was reset.
};

/// Replaces an upstream whose connection was lost by one that continues the body. Returns false if there is none.
using ResumeBody = std::function<HTTP::awaitable<bool>(UpstreamResponse&, ResumableBody const&)>;

/// Streams the response to the caller, using bounded memory. On return the upstream's connection is back in the pool or
/// closed.
HTTP::awaitable<ResponseRelayResult> relayResponse(
    RequestContext&, UpstreamClient&, UpstreamResponse&, HTTP::ResponseHead headForCaller, ResumeBody);

}
