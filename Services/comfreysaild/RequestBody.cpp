#include "RequestBody.h"

#include <algorithm>

namespace Comfreysail::Daemon {

using Core::Empty;
using Core::Error;
using Core::ErrorKind;
using Core::Result;
using HTTP::awaitable;

namespace {

constexpr size_t pieceSize = size_t { 16 } * 1024;

Error bodyTooLarge(RequestContext const& context)
{
    return { ErrorKind::BodyTooLarge,
        "the limit is " + std::to_string(context.classification.settings.maxBodyBytes) + " bytes" };
}

}

awaitable<Result<Empty>> bufferBody(RequestContext& context)
{
    auto& exchange = context.exchange;
    auto const maxBytes = context.classification.settings.maxBodyBytes;
    if (!exchange.head().hasBody())
        co_return Empty {};
    if (exchange.head().contentLength.value_or(0) > maxBytes)
        co_return bodyTooLarge(context);
    auto body = std::make_shared<std::string>();
    auto const wanted = std::min<uint64_t>(exchange.head().contentLength.value_or(maxBufferedBody), maxBufferedBody);
    while (!exchange.isBodyFinished() && body->size() <= wanted) {
        auto const offset = body->size();
        body->resize(offset + std::min<size_t>(pieceSize, wanted - offset + 1));
        auto const size = co_await exchange.readBody(std::span(*body).subspan(offset));
        if (isError(size))
            co_return errorOf(size);
        body->resize(offset + valueOf(size));
        if (body->size() > maxBytes)
            co_return bodyTooLarge(context);
    }
    context.isStreamed = !exchange.isBodyFinished();
    context.body = std::move(body);
    co_return Empty {};
}

HTTP::BodySource streamedBodySource(RequestContext& context)
{
    return [&context, buffered = size_t { 0 }, total = uint64_t { 0 }](
               std::span<char> into) mutable -> awaitable<Result<size_t>> {
        if (buffered < context.body->size()) {
            auto const size = std::min(into.size(), context.body->size() - buffered);
            std::copy_n(context.body->data() + buffered, size, into.data());
            buffered += size;
            total += size;
            co_return size;
        }
        if (context.exchange.isBodyFinished()) {
            context.exchange.watchCaller([&context] { context.stopSignal.stop(ErrorKind::CallerGone); });
            co_return size_t { 0 };
        }
        auto size = co_await context.exchange.readBody(into);
        if (!isError(size)) {
            total += valueOf(size);
            if (total > context.classification.settings.maxBodyBytes)
                size = bodyTooLarge(context);
            else if (valueOf(size) == 0)
                context.exchange.watchCaller([&context] { context.stopSignal.stop(ErrorKind::CallerGone); });
        }
        if (isError(size))
            context.stopSignal.stop(errorOf(size).kind);
        co_return size;
    };
}

}
