#pragma once

#include <LibCore/Result.h>
#include <LibHTTP/Message.h>
#include <LibHTTP/Stream.h>
#include <memory>
#include <span>

namespace Comfreysail::HTTP {

struct ReadLimits {
    size_t maxHeaderBytes { 16 * 1024 };
    /// The shortest field takes four bytes, so a head of 16 KiB never reaches this default.
    size_t maxHeaderFields { 4096 };
};

/// Reads one request from a connection: the head, then the body in parts. Use a new reader for each request.
class RequestReader {
public:
    RequestReader(Stream&, ReadLimits);
    ~RequestReader();
    RequestReader(RequestReader const&) = delete;
    RequestReader& operator=(RequestReader const&) = delete;

    /// Errors: MalformedRequest, HeaderTooLarge, CallerGone.
    awaitable<Core::Result<RequestHead>> readHead();

    /// Reads the next part of the body and returns its size in bytes, or 0 at the end of the body.
    /// Errors: MalformedRequest (chunk framing), CallerGone.
    awaitable<Core::Result<size_t>> readBody(std::span<char> into);

    bool isFinished() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Reads one response from a connection. Interim responses (1xx) are skipped.
class ResponseReader {
public:
    ResponseReader(Stream&, ReadLimits);
    ~ResponseReader();
    ResponseReader(ResponseReader const&) = delete;
    ResponseReader& operator=(ResponseReader const&) = delete;

    /// `requestMethod` decides whether the response has a body. A body without a declared length ends when the target
    /// closes the connection in an orderly way; a reset before that is an error, because the body may be truncated.
    /// Errors: InvalidTargetAnswer, ConnectionLost.
    awaitable<Core::Result<ResponseHead>> readHead(std::string_view requestMethod);

    /// Reads the next part of the body and returns its size in bytes, or 0 at the end of the body.
    /// Errors: InvalidTargetAnswer (chunk framing), ConnectionLost.
    awaitable<Core::Result<size_t>> readBody(std::span<char> into);

    bool isFinished() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
