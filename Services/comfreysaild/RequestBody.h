#pragma once

#include "RequestContext.h"

namespace Comfreysail::Daemon {

/// Bodies up to this size are kept in memory, so that they can be sent again.
inline constexpr size_t maxBufferedBody = size_t { 64 } * 1024;

/// Reads the body of a request, or its first part when it is larger than maxBufferedBody. Errors: BodyTooLarge,
/// MalformedRequest, CallerGone.
HTTP::awaitable<Core::Result<Core::Empty>> bufferBody(RequestContext&);

/// Source of a body that is not completely in memory: the buffered part, then the rest from the caller's connection.
/// It may be used once. When it fails, it stops the request.
HTTP::BodySource streamedBodySource(RequestContext&);

}
