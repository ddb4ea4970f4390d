#pragma once

#include <LibCore/Result.h>
#include <LibHTTP/Asio.h>
#include <LibHTTP/ServerExchange.h>
#include <LibHTTP/ServerOptions.h>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace Comfreysail::HTTP {

/// Handles one request. If it returns before the response is finished, the connection is reset.
using Handler = std::function<awaitable<void>(ServerExchange&)>;

/// Accepts connections and runs a session for each, on its own strand.
class Server : public std::enable_shared_from_this<Server> {
public:
    static std::shared_ptr<Server> create(asio::io_context&, ServerOptions, Handler);

    /// Binds and starts accepting. Errors: InvalidSettings if the address is not an IP address, Internal if the system
    /// refuses; the detail names the address and the reason.
    Core::Result<Core::Empty> start();
    uint16_t port() const { return m_port; }

    /// Makes every response that starts from now on close its connection. If further requests of the connection were
    /// read already, the last of their responses does so.
    void closeAfterResponses() { m_closesAfterResponses = true; }

    /// Closes the connections that have no request in progress and have received no byte of a new one, now and whenever
    /// that becomes so.
    void closeIdleConnections();

    /// Accepts the connections that wait in the kernel, and then no more.
    void stopAccepting();

    size_t connections() const;

private:
    class Session;

    Server(asio::io_context&, ServerOptions, Handler);
    awaitable<void> acceptLoop();
    void serve(tcp::socket);
    void addSession(std::shared_ptr<Session> const&);
    void removeSession(Session const*);

    asio::io_context& m_context;
    ServerOptions m_options;
    Handler m_handler;
    asio::any_io_executor m_acceptStrand;
    tcp::acceptor m_acceptor;
    uint16_t m_port { 0 };
    std::atomic<bool> m_closesAfterResponses { false };
    std::atomic<bool> m_closesIdleConnections { false };
    mutable std::mutex m_mutex;
    std::unordered_map<Session const*, std::weak_ptr<Session>> m_sessions;
};

}
