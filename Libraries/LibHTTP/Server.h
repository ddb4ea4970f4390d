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

/// Answers one request. When it returns without a finished response, the connection is reset.
using Handler = std::function<awaitable<void>(ServerExchange&)>;

/// Accepts connections and runs a session on its own strand for each.
class Server : public std::enable_shared_from_this<Server> {
public:
    static std::shared_ptr<Server> create(asio::io_context&, ServerOptions, Handler);

    /// Binds and starts to accept. The error detail names the address and the system's reason.
    Core::Result<Core::Empty> start();
    uint16_t port() const { return m_port; }

    /// From now on every response closes its connection.
    void closeAfterResponses() { m_closesAfterResponses = true; }

    /// Closes the connections on which no request has begun to arrive.
    void closeIdleConnections();

    void stopAccepting();

    size_t connections() const;

private:
    class Session;

    Server(asio::io_context&, ServerOptions, Handler);
    awaitable<void> acceptLoop();
    void addSession(std::shared_ptr<Session> const&);
    void removeSession(Session const*);

    asio::io_context& m_context;
    ServerOptions m_options;
    Handler m_handler;
    asio::any_io_executor m_acceptStrand;
    tcp::acceptor m_acceptor;
    uint16_t m_port { 0 };
    std::atomic<bool> m_closesAfterResponses { false };
    mutable std::mutex m_mutex;
    std::unordered_map<Session const*, std::weak_ptr<Session>> m_sessions;
};

}
