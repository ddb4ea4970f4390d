#include "HttpCaller.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Comfreysail::Benchmarks {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr uint64_t maxBodyBytes = 1ULL << 30U;

asio::ip::tcp::endpoint parseAddress(std::string const& address)
{
    auto const colon = address.rfind(':');
    return { asio::ip::make_address(address.substr(0, colon)),
        static_cast<uint16_t>(std::stoul(address.substr(colon + 1))) };
}

/// Returns false if the peer has closed the idle connection or has sent bytes that belong to no request.
bool isStillIdle(beast::tcp_stream& stream)
{
    char byte = 0;
    beast::error_code error;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

}

HttpCaller::Stream HttpCaller::takeIdle(std::string const& address)
{
    auto& idle = m_idle[address];
    while (!idle.empty()) {
        auto stream = std::move(idle.back());
        idle.pop_back();
        if (isStillIdle(*stream))
            return stream;
    }
    return nullptr;
}

asio::awaitable<Reply> HttpCaller::call(std::string address, Request request, std::chrono::milliseconds timeout)
{
    Reply reply;
    auto stream = takeIdle(address);
    if (!stream) {
        stream = std::make_shared<beast::tcp_stream>(m_context);
        stream->expires_after(timeout);
        auto const [connectError] = co_await stream->async_connect(parseAddress(address), useTuple);
        if (connectError)
            co_return reply;
        beast::error_code ignored;
        stream->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    reply.state = Reply::State::NoResponse;
    stream->expires_after(timeout);
    auto const [writeError, written] = co_await http::async_write(*stream, request, useTuple);
    if (writeError)
        co_return reply;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxBodyBytes);
    parser.skip(request.method() == http::verb::head);
    auto const [readError, read] = co_await http::async_read(*stream, buffer, parser, useTuple);
    if (parser.is_header_done()) {
        auto message = parser.release();
        reply.state = readError ? Reply::State::Cut : Reply::State::Complete;
        reply.status = message.result_int();
        bool const isReusable = !readError && message.keep_alive() && buffer.size() == 0;
        reply.body = std::move(message.body());
        reply.fields = std::move(message.base());
        if (isReusable) {
            stream->expires_never();
            m_idle[address].push_back(std::move(stream));
        }
    }
    co_return reply;
}

}
