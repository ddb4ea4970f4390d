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

/// What came back for one send.
struct Reply {
    enum class State : uint8_t {
        NotConnected, ///< Nothing was sent.
        NoResponse,   ///< Sent, but no complete response head came back.
        Cut,          ///< The body ended early.
        Complete,
    };

    State state { State::NotConnected };
    unsigned status { 0 };
    boost::beast::http::fields fields;
    std::string body;
};

/// HTTP client with a pool of idle connections to each address.
class HttpCaller {
public:
    explicit HttpCaller(boost::asio::io_context& context)
        : m_context(context)
    {
    }

    /// Sends the request to host:port and reads the whole response.
    boost::asio::awaitable<Reply> call(std::string address, Request request, std::chrono::milliseconds timeout);

private:
    using Stream = std::shared_ptr<boost::beast::tcp_stream>;

    Stream takeIdle(std::string const& address);

    boost::asio::io_context& m_context;
    std::unordered_map<std::string, std::vector<Stream>> m_idle;
};

}
