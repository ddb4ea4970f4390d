#pragma once

#include "FaultSwitch.h"
#include "PlatformCalls.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <list>
#include <memory>
#include <optional>

namespace Comfreysail::Fakes {

/// Single-threaded HTTP server of the fake platform. /faults, /stats, /drop-history, /keep-copy and /restore-copy work
/// in every fault mode.
class PlatformServer {
public:
    using Endpoint = boost::asio::ip::tcp::endpoint;

    /// Store calls on the control endpoint run with CallerRole::Operator. If there is a control endpoint, mode "down"
    /// also closes the main port, so that connections are refused.
    PlatformServer(boost::asio::io_context&, Endpoint main, std::optional<Endpoint> control, CallRates = {});

    /// Starts to accept connections. Throws boost::system::system_error if a port is in use.
    void start();
    void stop();

    Endpoint mainEndpoint() const { return m_main; }
    std::optional<Endpoint> controlEndpoint() const { return m_control; }

private:
    using Acceptor = boost::asio::ip::tcp::acceptor;
    using Stream = boost::beast::tcp_stream;

    void open(Acceptor&, Endpoint&);
    boost::asio::awaitable<void> accept(Acceptor&, bool isControl);
    boost::asio::awaitable<void> serve(std::shared_ptr<Stream>, bool isControl);
    boost::asio::awaitable<std::optional<PlatformCalls::Answer>> answer(
        std::string method, std::string target, std::string body, std::string caller);
    boost::asio::awaitable<PlatformCalls::Answer> runCall(std::string method, std::string target, std::string body);
    std::optional<PlatformCalls::Answer> runControlCall(
        std::string_view method, std::string_view target, std::string const& body);
    void setFaults(FaultSwitch);

    boost::asio::io_context& m_context;
    Endpoint m_main;
    std::optional<Endpoint> m_control;
    Acceptor m_mainAcceptor;
    Acceptor m_controlAcceptor;
    PlatformCalls m_calls;
    FaultSwitch m_faults;
    std::list<std::weak_ptr<Stream>> m_connections; ///< Connections on the main port.
    bool m_isStopping { false };
};

}
