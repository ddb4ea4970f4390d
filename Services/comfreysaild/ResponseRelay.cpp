#include "ResponseRelay.h"

namespace Comfreysail::Daemon {

using Core::ErrorKind;
using HTTP::awaitable;

namespace {

constexpr size_t readBufferSize = size_t { 64 } * 1024;

/// Sends one piece. If the request is stopped while the send blocks, the caller's connection is reset.
awaitable<bool> sendPiece(RequestContext& context, std::string_view piece)
{
    StopSignal::Scope const scope(context.stopSignal, [&context] { context.exchange.abort(); });
    bool const isSent = co_await context.exchange.sendBody(piece);
    co_return isSent;
}

awaitable<bool> finishUpload(RequestContext& context, UpstreamResponse& upstream)
{
    if (!upstream.connection->isSending())
        co_return true;
    // The target responded without reading the whole request body, so the connection cannot be reused.
    upstream.connection->close();
    context.exchange.cancelPendingRead();
    co_await upstream.connection->waitForSender();
    co_return false;
}

}

awaitable<ResponseRelayResult> relayResponse(RequestContext& context, UpstreamClient& client,
    UpstreamResponse& upstream, HTTP::ResponseHead headForCaller, ResumeBody resume)
{
    auto& exchange = context.exchange;
    auto resumable = ResumableBody::of(exchange.head(), upstream.head);
    bool const isLengthKnown = !headForCaller.chunked;
    exchange.startResponse(std::move(headForCaller));
    auto const buffer = std::make_unique_for_overwrite<char[]>(readBufferSize);
    auto end = ResponseRelayResult::Complete;
    while (true) {
        // If no body data is available yet, sends the head now; otherwise head and body go out in one write.
        bool isSent = true;
        if (!upstream.hasBufferedBody())
            isSent = co_await exchange.flush();
        if (!isSent) {
            end = ResponseRelayResult::CallerGone;
            break;
        }
        auto const size = co_await client.readBody(context, upstream, { buffer.get(), readBufferSize });
        if (!isError(size)) {
            if (valueOf(size) == 0)
                break;
            if (resumable)
                resumable->sent += valueOf(size);
            std::string_view const piece(buffer.get(), valueOf(size));
            isSent = co_await sendPiece(context, piece);
            if (!isSent) {
                end = ResponseRelayResult::CallerGone;
                break;
            }
            continue;
        }
        if (context.stopSignal.reason()) {
            end = ResponseRelayResult::CallerGone;
            break;
        }
        bool const mayResume = errorOf(size).kind == ErrorKind::ConnectionLost && resumable && isLengthKnown && resume;
        bool isResumed = false;
        if (mayResume)
            isResumed = co_await resume(upstream, *resumable);
        if (!isResumed) {
            end = ResponseRelayResult::UpstreamLost;
            break;
        }
    }
    bool const wasUploadFinished = co_await finishUpload(context, upstream);
    if (end == ResponseRelayResult::Complete) {
        bool const isFinished = co_await exchange.finish();
        end = isFinished ? ResponseRelayResult::Complete : ResponseRelayResult::CallerGone;
    }
    if (end != ResponseRelayResult::Complete)
        exchange.abort();
    if (end == ResponseRelayResult::Complete && wasUploadFinished)
        client.finish(upstream);
    else
        client.abandon(upstream);
    co_return end;
}

}
