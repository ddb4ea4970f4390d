#include "UpstreamClient.h"

#include "RequestBody.h"
#include <LibCore/Hash.h>
#include <array>

namespace Comfreysail::Daemon {

using Core::Empty;
using Core::Error;
using Core::ErrorKind;
using Core::Result;
using HTTP::awaitable;
using HTTP::ClientConnection;

namespace {

// Bytes. A request can be retried only until the caller has received a response head, so small bodies are read to their
// end before. Prefetching larger ones would cost memory and delay the first byte.
constexpr uint64_t maxPrefetchedBody = uint64_t { 64 } * 1024;
constexpr unsigned maxForeignResponses = 3;
constexpr size_t skipBufferSize = size_t { 4 } * 1024;

/// Responses without an id are taken for those to the request, as targets of older builds send none.
bool isToAnotherRequest(HTTP::ResponseHead const& head, std::string_view requestId)
{
    auto const id = head.fields.find(Core::Header::requestId);
    return id && *id != requestId;
}

awaitable<Result<Empty>> skipBody(ClientConnection& connection)
{
    std::array<char, skipBufferSize> buffer {};
    while (true) {
        auto const size = co_await connection.readBody(buffer);
        if (isError(size))
            co_return errorOf(size);
        if (valueOf(size) == 0)
            co_return Empty {};
    }
}

/// Reads the head of the response to the request with this id.
awaitable<Result<UpstreamResponse>> readResponse(
    std::shared_ptr<ClientConnection> connection, std::string_view method, std::string_view requestId)
{
    UpstreamResponse response { connection, {} };
    for (unsigned foreign = 0; foreign < maxForeignResponses; ++foreign) {
        auto head = co_await connection->readHead(method);
        if (isError(head))
            co_return errorOf(head);
        // Responses of targets in the settings tree must state their length or be chunked, so that truncation is
        // detected.
        if (valueOf(head).endsWithConnection)
            co_return Error { ErrorKind::InvalidTargetAnswer, "the answer has no length" };
        if (!isToAnotherRequest(valueOf(head), requestId)) {
            response.head = takeValue(std::move(head));
            co_return response;
        }
        response.followsOthers = true;
        auto const skipped = co_await skipBody(*connection);
        if (isError(skipped))
            co_return errorOf(skipped);
    }
    co_return Error { ErrorKind::InvalidTargetAnswer, "the answers are to other requests" };
}

}

UpstreamClient::UpstreamClient(HTTP::ConnectionPool& pool, DaemonLimits const& limits)
    : m_pool(pool)
    , m_limits(limits)
{
}

awaitable<Result<std::shared_ptr<ClientConnection>>> UpstreamClient::connect(
    RequestContext& context, HTTP::Endpoint const& endpoint)
{
    auto connection = m_pool.create(endpoint);
    auto const close = [&connection] { connection->close(); };
    StopSignal::Scope const scope(context.stopSignal, close);
    auto const watchdog = HTTP::Watchdog::create(context.exchange.strand());
    watchdog->arm(Core::monotonicNow() + m_limits.connectTimeout, close);
    auto connected = co_await connection->connect();
    watchdog->disarm();
    if (context.stopSignal.reason())
        co_return Error { *context.stopSignal.reason(), "while connecting" };
    if (isError(connected))
        co_return errorOf(connected);
    co_return connection;
}

awaitable<Result<Empty>> UpstreamClient::sendRequest(
    RequestContext& context, ClientConnection& connection, HTTP::RequestHead const& head)
{
    if (!context.isStreamed)
        return connection.send(head, context.body);
    context.isStreamConsumed = true;
    return connection.sendStreaming(head, streamedBodySource(context));
}

awaitable<Result<UpstreamResponse>> UpstreamClient::send(
    RequestContext& context, HTTP::Endpoint const& endpoint, HTTP::ReusePolicy policy, HTTP::RequestHead head)
{
    bool const mayHaveRunBefore = context.mayHaveRun;
    auto const& requestId = context.classification.requestId;
    auto const idHash = Core::hashBytes(requestId);
    auto connection = m_pool.take(endpoint, policy, Core::monotonicNow(), idHash);
    while (true) {
        bool const isPooled = connection != nullptr;
        if (!isPooled) {
            auto connected = co_await connect(context, endpoint);
            if (isError(connected))
                co_return errorOf(connected);
            connection = takeValue(std::move(connected));
        }
        StopSignal::Scope const scope(context.stopSignal, [&connection] { connection->close(); });
        context.mayHaveRun = true;
        connection->noteRequestId(idHash);
        auto const sent = co_await sendRequest(context, *connection, head);
        if (isError(sent)) {
            context.mayHaveRun = mayHaveRunBefore;
            connection->close();
            if (context.stopSignal.reason())
                co_return Error { *context.stopSignal.reason(), "while sending" };
            if (!isPooled)
                co_return errorOf(sent);
            // The target had closed the idle pooled connection, and nothing was sent on it. Connect again.
            connection = nullptr;
            continue;
        }
        auto received = co_await readResponse(connection, head.method, requestId);
        if (!isError(received))
            co_return takeValue(std::move(received));
        auto const reason = context.stopSignal.reason();
        m_pool.discard(connection, reason == ErrorKind::DeadlineExceeded);
        context.exchange.cancelPendingRead();
        co_await connection->waitForSender();
        if (reason)
            co_return Error { *reason, "while waiting for the answer" };
        co_return errorOf(received);
    }
}

awaitable<Result<Core::Empty>> UpstreamClient::prefetchBody(RequestContext& context, UpstreamResponse& upstream)
{
    if (!upstream.head.contentLength || *upstream.head.contentLength > maxPrefetchedBody)
        co_return Core::Empty {};
    // One byte more than the length, because a read into an empty buffer would look like the end of the body.
    std::string body(*upstream.head.contentLength + 1, '\0');
    size_t length = 0;
    while (true) {
        auto const size = co_await readBody(context, upstream, std::span(body).subspan(length));
        if (isError(size))
            co_return errorOf(size);
        if (valueOf(size) == 0)
            break;
        length += valueOf(size);
    }
    body.resize(length);
    upstream.prefetchedBody = std::move(body);
    co_return Core::Empty {};
}

awaitable<Result<size_t>> UpstreamClient::readBody(
    RequestContext& context, UpstreamResponse& upstream, std::span<char> into)
{
    if (upstream.prefetchedBody) {
        auto const size = upstream.prefetchedBody->copy(into.data(), into.size(), upstream.prefetchedBytesRead);
        upstream.prefetchedBytesRead += size;
        co_return size;
    }
    auto& connection = *upstream.connection;
    StopSignal::Scope const scope(context.stopSignal, [&connection] { connection.close(); });
    bool isStalled = false;
    if (!connection.hasBufferedBody()) {
        context.stallWatchdog->arm(Core::monotonicNow() + m_limits.stallTimeout, [&] {
            isStalled = true;
            connection.close();
        });
    }
    auto result = co_await connection.readBody(into);
    context.stallWatchdog->disarm();
    if (context.stopSignal.reason())
        co_return Error { *context.stopSignal.reason(), "while reading the answer" };
    if (isStalled)
        co_return Error { ErrorKind::ConnectionLost, "the answer made no progress" };
    co_return result;
}

void UpstreamClient::finish(UpstreamResponse& upstream)
{
    if (upstream.followsOthers)
        m_pool.discard(upstream.connection, false);
    else
        m_pool.release(upstream.connection, Core::monotonicNow());
}

void UpstreamClient::abandon(UpstreamResponse& upstream, bool wasUnresponsive)
{
    m_pool.discard(upstream.connection, wasUnresponsive);
}

}
