#include <LibHTTP/MessageReader.h>

#include <LibHTTP/HeadCheck.h>
#include <algorithm>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace Comfreysail::HTTP {

namespace {

namespace http = boost::beast::http;
using Core::Error;
using Core::ErrorKind;
using Core::Result;

constexpr size_t headReadSize = 4 * 1024;
// A request body is read in smaller parts than a response body, since there may be a buffer for each client connection.
constexpr size_t requestBodyReadSize = 16 * 1024;
constexpr size_t responseBodyReadSize = 64 * 1024;
constexpr unsigned maxInterimResponses = 8;

template<MessageKind> struct ErrorKindsFor;
template<> struct ErrorKindsFor<MessageKind::Request> {
    static constexpr auto malformed = ErrorKind::MalformedRequest;
    static constexpr auto lost = ErrorKind::CallerGone;
};
template<> struct ErrorKindsFor<MessageKind::Response> {
    static constexpr auto malformed = ErrorKind::InvalidTargetAnswer;
    static constexpr auto lost = ErrorKind::ConnectionLost;
};

template<MessageKind kind> struct Parser {
    static constexpr bool isRequest = kind == MessageKind::Request;
    static constexpr size_t bodyReadSize = isRequest ? requestBodyReadSize : responseBodyReadSize;
    using BeastParser = http::parser<isRequest, http::buffer_body>;

    Parser(Stream& stream, ReadLimits limits)
        : stream(stream)
        , limits(limits)
    {
        restart();
    }

    void restart()
    {
        beast = std::make_unique<BeastParser>();
        bodyError.reset();
        // parseHead() enforces the limit on the head; twice the limit leaves room for trailers and chunk extensions.
        beast->header_limit(static_cast<uint32_t>(limits.maxHeaderBytes * 2));
        // The daemon enforces the body limit itself, because it depends on the department.
        beast->body_limit(boost::none);
        beast->eager(true);
    }

    /// Receives and parses a complete head.
    awaitable<Result<Core::Empty>> parseHead()
    {
        HeadScanner scanner;
        size_t headSize = 0;
        while (true) {
            auto const scanned = scanner.scan(stream.received.data());
            if (isError(scanned))
                co_return Error { ErrorKindsFor<kind>::malformed, errorOf(scanned).detail };
            headSize = valueOf(scanned);
            auto const known = headSize > 0 ? headSize : stream.received.data().size();
            if (known > limits.maxHeaderBytes) {
                auto const tooLarge = isRequest ? ErrorKind::HeaderTooLarge : ErrorKind::InvalidTargetAnswer;
                co_return Error { tooLarge, "the head is larger than " + std::to_string(limits.maxHeaderBytes) };
            }
            if (headSize > 0)
                break;
            auto const error = co_await stream.receive(headReadSize);
            if (error)
                co_return Error { ErrorKindsFor<kind>::lost, error.message() };
        }
        auto const head = stream.received.data().substr(0, headSize);
        // The first line and the empty line at the end are not fields.
        auto const fields = static_cast<size_t>(std::count(head.begin(), head.end(), '\n')) - 2;
        if (fields > limits.maxHeaderFields) {
            auto const tooMany = isRequest ? ErrorKind::HeaderTooLarge : ErrorKind::InvalidTargetAnswer;
            co_return Error { tooMany, "the head has more than " + std::to_string(limits.maxHeaderFields) + " fields" };
        }
        auto checked = checkHead(head, kind);
        if (isError(checked))
            co_return checked;
        ErrorCode error;
        beast->put(asio::buffer(head.data(), head.size()), error);
        if ((error && error != http::error::need_buffer) || !beast->is_header_done())
            co_return Error { ErrorKindsFor<kind>::malformed, error.message() };
        stream.received.consume(headSize);
        co_return Core::Empty {};
    }

    /// Parses what has been received until `into` is full, so that many small chunks cost one call. Receives more only
    /// if there is nothing to return yet.
    awaitable<Result<size_t>> parseBody(std::span<char> into)
    {
        if (bodyError)
            co_return *bodyError;
        size_t produced = 0;
        while (!beast->is_done()) {
            auto const available = stream.received.data();
            if (!available.empty()) {
                auto& parser = *beast;
                auto& body = parser.get().body();
                body.data = into.data() + produced;
                body.size = into.size() - produced;
                body.more = true;
                ErrorCode error;
                auto const used = parser.put(asio::buffer(available.data(), available.size()), error);
                stream.received.consume(used);
                produced = into.size() - body.size;
                if (error && error != http::error::need_buffer && error != http::error::need_more)
                    bodyError = Error { ErrorKindsFor<kind>::malformed, error.message() };
                if (bodyError && produced == 0)
                    co_return *bodyError;
                if (bodyError)
                    co_return produced;
                if (produced == into.size())
                    co_return produced;
                if (used > 0)
                    continue;
            }
            if (produced > 0)
                co_return produced;
            if (stream.received.data().size() >= limits.maxHeaderBytes + bodyReadSize)
                co_return Error { ErrorKindsFor<kind>::malformed, "a chunk header or trailer is too large" };
            auto const error = co_await stream.receive(bodyReadSize);
            bool const mayEndHere = error == asio::error::eof && !isRequest && beast->need_eof();
            // The socket reports a reset once. If a write of the request body got it, the read reports the end of the
            // stream.
            if (mayEndHere && stream.mayHaveBeenReset())
                co_return Error { ErrorKindsFor<kind>::lost, "the connection was reset" };
            if (mayEndHere) {
                // Only an orderly close completes a body without a length; after a reset it may be truncated.
                ErrorCode ignored;
                beast->put_eof(ignored);
                break;
            }
            if (error)
                co_return Error { ErrorKindsFor<kind>::lost, error.message() };
        }
        co_return produced;
    }

    /// Moves the fields out of the parser, which keeps what it needs for the body apart from them.
    void moveFields(Fields& fields)
    {
        auto& parser = *beast;
        auto& base = parser.get().base();
        for (auto const& field : base) {
            auto const name = field.name_string();
            auto const value = field.value();
            fields.add({ name.data(), name.size() }, { value.data(), value.size() });
        }
        base.clear();
    }

    std::optional<uint64_t> contentLength() const
    {
        auto const length = beast->content_length();
        return length ? std::optional<uint64_t>(*length) : std::nullopt;
    }

    Stream& stream;
    ReadLimits limits;
    std::unique_ptr<BeastParser> beast;
    /// Found behind bytes that were returned first, so that a body reads the same in whatever parts it arrives.
    std::optional<Error> bodyError;
};

}

struct RequestReader::State : Parser<MessageKind::Request> {
    using Parser::Parser;
};

RequestReader::RequestReader(Stream& stream, ReadLimits limits)
    : m_state(std::make_unique<State>(stream, limits))
{
}

RequestReader::~RequestReader() = default;

awaitable<Result<RequestHead>> RequestReader::readHead()
{
    auto parsed = co_await m_state->parseHead();
    if (isError(parsed))
        co_return errorOf(parsed);
    auto const& message = m_state->beast->get();
    RequestHead head;
    head.method = std::string(message.method_string());
    head.target = std::string(message.target());
    head.contentLength = m_state->contentLength();
    head.chunked = m_state->beast->chunked();
    head.keepAlive = m_state->beast->keep_alive();
    m_state->moveFields(head.fields);
    head.expectsContinue = head.fields.containsToken("Expect", "100-continue");
    co_return head;
}

awaitable<Result<size_t>> RequestReader::readBody(std::span<char> into) { return m_state->parseBody(into); }

bool RequestReader::isFinished() const { return m_state->beast->is_done(); }

struct ResponseReader::State : Parser<MessageKind::Response> {
    using Parser::Parser;
};

ResponseReader::ResponseReader(Stream& stream, ReadLimits limits)
    : m_state(std::make_unique<State>(stream, limits))
{
}

ResponseReader::~ResponseReader() = default;

awaitable<Result<ResponseHead>> ResponseReader::readHead(std::string_view requestMethod)
{
    bool const isHead = requestMethod == "HEAD";
    for (unsigned interim = 0; interim < maxInterimResponses; ++interim) {
        m_state->restart();
        m_state->beast->skip(isHead);
        auto parsed = co_await m_state->parseHead();
        if (isError(parsed))
            co_return errorOf(parsed);
        auto const& message = m_state->beast->get();
        ResponseHead head;
        head.status = message.result_int();
        if (head.status == 101)
            co_return Error { ErrorKind::InvalidTargetAnswer, "the target switched protocols without being asked" };
        if (head.status < 200)
            continue;
        head.reason = std::string(message.reason());
        head.contentLength = m_state->contentLength();
        head.chunked = m_state->beast->chunked();
        head.keepAlive = m_state->beast->keep_alive();
        m_state->moveFields(head.fields);
        bool const hasBody = !isHead && !statusForbidsBody(head.status);
        head.endsWithConnection = hasBody && !head.chunked && !head.contentLength;
        co_return head;
    }
    co_return Error { ErrorKind::InvalidTargetAnswer, "the target sent too many interim answers" };
}

awaitable<Result<size_t>> ResponseReader::readBody(std::span<char> into) { return m_state->parseBody(into); }

bool ResponseReader::isFinished() const { return m_state->beast->is_done(); }

}
