#pragma once

#include "RequestContext.h"

namespace Comfreysail::Daemon {

/// Bytes. Bodies up to this size are buffered, so that the request can be sent again.
inline constexpr size_t maxBufferedBody = size_t { 64 } * 1024;

/// Reads the body of a request, or only its first part if it is larger than maxBufferedBody. Errors:
/// BodyTooLarge, MalformedRequest, CallerGone.
HTTP::awaitable<Core::Result<Core::Empty>> bufferBody(RequestContext&);

/// Returns a source for a body that is only partly buffered: the buffered part, then the rest from the caller's
/// connection. It can be used once. A read error stops the request.
HTTP::BodySource streamedBodySource(RequestContext&);

}
