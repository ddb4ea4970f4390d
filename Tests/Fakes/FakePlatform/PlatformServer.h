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

/// HTTP server of the test double, on one thread. /faults and /stats work in every mode.
class PlatformServer {
public:
    using Endpoint = boost::asio::ip::tcp::endpoint;

    /// On the control endpoint, /rows-tx writes as the operators and targets do. With it, mode "down" also closes the
    /// main port, so that connections are refused.
    PlatformServer(boost::asio::io_context&, Endpoint main, std::optional<Endpoint> control, CallRates = {});

    /// Starts to accept. Throws boost::system::system_error when a port is taken.
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
    std::optional<PlatformCalls::Answer> control(
        std::string_view method, std::string_view target, std::string const& body);
    void setFaults(FaultSwitch);

    boost::asio::io_context& m_context;
    Endpoint m_main;
    std::optional<Endpoint> m_control;
    Acceptor m_mainAcceptor;
    Acceptor m_controlAcceptor;
    PlatformCalls m_calls;
    FaultSwitch m_faults;
    std::list<std::weak_ptr<Stream>> m_connections; ///< Of the main port.
    bool m_isStopping { false };
};

}
