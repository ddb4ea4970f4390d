#pragma once

#include "ResumableBody.h"
#include "UpstreamClient.h"
#include <functional>

namespace Comfreysail::Daemon {

enum class RelayEnd : uint8_t {
    Complete,     ///< The caller has the whole response.
    UpstreamLost, ///< The response ended early or was invalid; the caller's connection was reset.
    CallerGone,   ///< The caller does not read, or the request was stopped.
};

/// Replaces a lost upstream by one that continues the body. Returns false when that is not possible.
using ResumeBody = std::function<HTTP::awaitable<bool>(Upstream&, ResumableBody const&)>;

/// Sends the response to the caller piece by piece, in bounded memory. On return the upstream's connection was given
/// back or closed.
HTTP::awaitable<RelayEnd> relayResponse(
    RequestContext&, UpstreamClient&, Upstream&, HTTP::ResponseHead headForCaller, ResumeBody);

}
