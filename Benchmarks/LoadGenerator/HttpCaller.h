#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Comfreysail::Benchmarks {

using Request = boost::beast::http::request<boost::beast::http::string_body>;

/// The outcome of sending one request.
struct Reply {
    enum class State : uint8_t {
        NotConnected, ///< Nothing was sent.
        NoResponse,   ///< Sent, but no complete response head came back.
        Cut,          ///< The body is incomplete.
        Complete,
    };

    State state { State::NotConnected };
    unsigned status { 0 };
    boost::beast::http::fields fields;
    std::string body;
};

/// HTTP client that keeps a pool of idle connections for each address.
class HttpCaller {
public:
    explicit HttpCaller(boost::asio::io_context& context)
        : m_context(context)
    {
    }

    /// Sends the request to host:port and reads the whole response. The timeout applies to connecting and, separately,
    /// to sending the request and reading the response.
    boost::asio::awaitable<Reply> call(std::string address, Request request, std::chrono::milliseconds timeout);

private:
    using Stream = std::shared_ptr<boost::beast::tcp_stream>;

    Stream takeIdle(std::string const& address);

    boost::asio::io_context& m_context;
    std::unordered_map<std::string, std::vector<Stream>> m_idle;
};

}
