#pragma once

#include <LibCore/Result.h>
#include <LibHTTP/Asio.h>
#include <LibHTTP/ServerExchange.h>
#include <LibHTTP/ServerOptions.h>
#include <LibHTTP/WaitingConnections.h>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace Comfreysail::HTTP {

/// Handles one request. If it returns before the response is finished, the connection is reset.
using Handler = std::function<awaitable<void>(ServerExchange&)>;

/// Accepts connections and runs a session for each, on its own strand. At its limit of connections it gives up one that
/// waits for its client, or else refuses the new one; see WaitingConnections.
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
    /// that becomes so. Those whose clients have not got the whole last response are closed when they have.
    void closeIdleConnections();

    /// Accepts the connections that wait in the kernel, and then no more.
    void stopAccepting();

    /// Closes the connection whose client has not read its response for the longest time, if that time is long.
    void giveUpUnreadResponse();

    size_t connections() const;
    /// The number of connections that would be closed, but whose clients have not got the whole last response yet.
    size_t deliveringConnections() const { return m_deliveringConnections; }
    size_t requestsAhead() const { return m_requestsAhead; }
    size_t headMemoryBytes() const { return m_headMemoryBytes; }

private:
    class Session;

    Server(asio::io_context&, ServerOptions, Handler);
    awaitable<void> acceptLoop();
    void serve(tcp::socket);
    /// Gives up connections until a new one from this address has room. Returns the limit that is in its way, if any.
    std::optional<ClientLimit> makeRoom(std::string const& address);
    /// Starts to close a connection. Call it without holding the lock.
    void giveUp(WaitingConnection const&);
    void addSession(std::shared_ptr<Session> const&);
    void removeSession(Session const&);
    void noteWait(Session const&, ClientWait);
    /// A connection that was to be given up no longer waits for its client.
    void noteKept(Session const&);
    void noteLimit(ClientLimit, std::string const& address) const;
    bool tryTakeHeadMemory(size_t bytes);

    asio::io_context& m_context;
    ServerOptions m_options;
    Handler m_handler;
    asio::any_io_executor m_acceptStrand;
    tcp::acceptor m_acceptor;
    uint16_t m_port { 0 };
    std::atomic<bool> m_closesAfterResponses { false };
    std::atomic<bool> m_closesIdleConnections { false };
    std::atomic<size_t> m_requestsAhead { 0 };
    std::atomic<size_t> m_headMemoryBytes { 0 };
    std::atomic<size_t> m_deliveringConnections { 0 };
    mutable std::mutex m_mutex;
    std::unordered_map<uint64_t, std::weak_ptr<Session>> m_sessions; ///< By the session's id.
    std::unordered_map<std::string, size_t> m_connectionsByAddress;
    WaitingConnections m_waiting;
    std::unordered_set<uint64_t> m_givenUp; ///< Sessions that are about to close.
};

}
