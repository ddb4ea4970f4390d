#pragma once

#include "DaemonSettings.h"
#include "RequestContext.h"
#include <LibHTTP/HTTP.h>

namespace Comfreysail::Daemon {

/// A response whose head has arrived and whose body is still to be read.
struct UpstreamResponse {
    std::shared_ptr<HTTP::ClientConnection> connection;
    HTTP::ResponseHead head;
    std::optional<std::string> prefetchedBody; ///< The whole body, if prefetchBody() has read it.
    size_t prefetchedBytesRead { 0 };
    bool followsOthers { false }; ///< Responses to other requests came before it, so the connection is not reused.

    bool hasBufferedBody() const { return prefetchedBody || connection->hasBufferedBody(); }
};

/// Sends requests to targets and other daemons over pooled connections.
class UpstreamClient {
public:
    UpstreamClient(HTTP::ConnectionPool&, DaemonLimits const&);

    /// Sends the request and reads the head of the response. Ends early if the context is stopped.
    /// Sets context.mayHaveRun as soon as a byte may have reached the other side.
    /// Responses with the id of another request, such as late copies of earlier ones, are skipped.
    /// Errors: ConnectFailed (certainly not sent), ConnectionLost, InvalidTargetAnswer, or the reason of the stop
    /// signal.
    HTTP::awaitable<Core::Result<UpstreamResponse>> send(
        RequestContext&, HTTP::Endpoint const&, HTTP::ReusePolicy, HTTP::RequestHead);

    /// Reads the next part of the response body. Returns its size in bytes; 0 at the end of the body. Errors: those of
    /// ClientConnection::readBody(), ConnectionLost after the stall timeout, or the reason of the stop signal.
    HTTP::awaitable<Core::Result<size_t>> readBody(RequestContext&, UpstreamResponse&, std::span<char> into);

    /// Reads a small body of known length to its end, so that a truncated one is detected before the caller gets the
    /// head. Leaves other bodies to readBody().
    /// Errors: as readBody().
    HTTP::awaitable<Core::Result<Core::Empty>> prefetchBody(RequestContext&, UpstreamResponse&);

    /// Ends the use of a response that was read to its end, and returns the connection to the pool.
    void finish(UpstreamResponse&);

    /// Ends the use of a response that was not read to its end; the connection is not reused.
    void abandon(UpstreamResponse&, bool wasUnresponsive = false);

private:
    HTTP::awaitable<Core::Result<std::shared_ptr<HTTP::ClientConnection>>> connect(
        RequestContext&, HTTP::Endpoint const&);
    HTTP::awaitable<Core::Result<Core::Empty>> sendRequest(
        RequestContext&, HTTP::ClientConnection&, HTTP::RequestHead const&);

    HTTP::ConnectionPool& m_pool;
    DaemonLimits const& m_limits;
};

}
