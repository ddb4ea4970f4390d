#include <LibStore/HttpCaller.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace Comfreysail::Store {

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
// Limits what the parser has not consumed, such as a chunk extension or a trailer without end. The parser looks through
// all of it again with each read.
constexpr size_t maxUnparsedBytes = size_t { 64 } * 1024;
constexpr unsigned firstFinalStatus = 200;

Core::Error failure(bool isUnknown, std::string const& detail)
{
    return { isUnknown ? Core::ErrorKind::StoreOutcomeUnknown : Core::ErrorKind::StoreUnavailable, detail };
}

}

/// A connection uses the strand on which it was created for its whole life, and so does its timer.
struct StoreConnection {
    explicit StoreConnection(asio::any_io_executor executor)
        : stream(std::move(executor))
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer { maxUnparsedBytes };
    Core::Instant idleSince;

    /// True if the other side closed the connection or sent unexpected bytes while it was idle.
    bool isUnusable()
    {
        char byte = 0;
        auto const count = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }
};

HttpCaller::HttpCaller(asio::any_io_executor executor, HttpStoreOptions options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
{
}

HttpCaller::~HttpCaller() = default;

void HttpCaller::send(Request request, std::function<void(Core::Result<Answer>)> callback)
{
    auto connection = takeIdle();
    asio::any_io_executor executor
        = connection ? connection->stream.get_executor() : asio::any_io_executor(asio::make_strand(m_executor));
    asio::co_spawn(
        executor,
        [](std::shared_ptr<HttpCaller> self, ConnectionPointer idle, Request pending,
            std::function<void(Core::Result<Answer>)> done) -> asio::awaitable<void> {
            auto answer = co_await self->exchange(std::move(idle), pending);
            done(std::move(answer));
        }(shared_from_this(), std::move(connection), std::move(request), std::move(callback)),
        asio::detached);
}

asio::awaitable<Core::Result<HttpCaller::Answer>> HttpCaller::exchange(
    ConnectionPointer connection, Request const& request)
{
    auto const hadIdle = connection != nullptr;
    for (auto useIdle = hadIdle;; useIdle = false) {
        auto const executor = co_await asio::this_coro::executor;
        if (!useIdle) {
            connection = std::make_unique<StoreConnection>(executor);
            boost::system::error_code code;
            auto const address = asio::ip::make_address(m_options.address, code);
            if (code)
                co_return failure(false, "not an IP address: " + m_options.address);
            connection->stream.expires_at(request.deadline);
            auto const [connectCode] = co_await connection->stream.async_connect({ address, m_options.port }, useTuple);
            if (connectCode)
                co_return failure(false, "cannot connect to " + m_options.subject + ": " + connectCode.message());
            connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), code);
            if (m_options.discardsUnsentBytes)
                connection->stream.socket().set_option(asio::socket_base::linger(true, 0), code);
        }
        // An expired timer does not cancel an operation that can complete immediately.
        if (Core::monotonicNow() >= request.deadline)
            co_return failure(false, "the deadline passed before the request was sent");
        if (request.mayStart && !request.mayStart())
            co_return failure(false, "the request must not be sent any more");
        bool mayHaveArrived = false;
        auto answer = co_await exchangeOn(*connection, request, mayHaveArrived);
        if (!Core::isError(answer)) {
            if (connection->stream.socket().is_open())
                returnIdle(std::move(connection));
            co_return answer;
        }
        // The other side may close an idle connection just as it is reused. The request is sent again only if no byte
        // of it was sent or if it is not a write.
        auto const maySendAgain = !mayHaveArrived || !request.isWrite;
        if (!useIdle || !maySendAgain || Core::monotonicNow() >= request.deadline)
            co_return answer;
    }
}

asio::awaitable<Core::Result<HttpCaller::Answer>> HttpCaller::exchangeOn(
    StoreConnection& connection, Request const& request, bool& mayHaveArrived)
{
    http::request<http::string_body> message { request.method, request.target, 11, request.body };
    message.set(http::field::host, m_options.address + ':' + std::to_string(m_options.port));
    if (!request.body.empty())
        message.set(http::field::content_type, "application/json");
    for (auto const& [name, value] : request.fields)
        message.set(name, value);
    message.prepare_payload();

    connection.stream.expires_at(request.deadline);
    auto const [writeCode, written] = co_await http::async_write(connection.stream, message, useTuple);
    mayHaveArrived = written > 0;
    if (writeCode)
        co_return failure(
            request.isWrite && mayHaveArrived, "cannot send to " + m_options.subject + ": " + writeCode.message());

    http::response_parser<http::string_body> parser;
    parser.body_limit(m_options.maxAnswerBytes);
    auto const [headCode, headBytes]
        = co_await http::async_read_header(connection.stream, connection.buffer, parser, useTuple);
    if (headCode)
        co_return failure(request.isWrite, "no answer from " + m_options.subject + ": " + headCode.message());
    connection.stream.expires_at(request.deadline + request.transferTime);
    auto const [readCode, bodyBytes]
        = co_await http::async_read(connection.stream, connection.buffer, parser, useTuple);
    if (readCode)
        co_return failure(request.isWrite, "incomplete answer from " + m_options.subject + ": " + readCode.message());
    auto response = parser.release();
    // Responses have no id, so the final response after an interim one would be taken for that to the next call.
    if (response.result_int() < firstFinalStatus) {
        connection.stream.close();
        co_return failure(request.isWrite, "interim response from " + m_options.subject);
    }
    if (!response.keep_alive() || connection.buffer.size() != 0)
        connection.stream.close();
    else
        connection.stream.expires_never();
    auto const status = response.result_int();
    if (status >= 500)
        co_return failure(request.isWrite, m_options.subject + " answered " + std::to_string(status));
    std::vector<std::pair<std::string, std::string>> fields;
    for (auto const& field : response)
        fields.emplace_back(field.name_string(), field.value());
    co_return Answer { status, std::move(response.body()), std::move(fields) };
}

HttpCaller::ConnectionPointer HttpCaller::takeIdle()
{
    auto const now = Core::monotonicNow();
    std::lock_guard const lock(m_mutex);
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (now - connection->idleSince < m_options.maxIdleTime && !connection->isUnusable())
            return connection;
    }
    return {};
}

void HttpCaller::returnIdle(ConnectionPointer connection)
{
    connection->idleSince = Core::monotonicNow();
    std::lock_guard const lock(m_mutex);
    if (m_idle.size() < m_options.maxIdleConnections)
        m_idle.push_back(std::move(connection));
}

}
