#pragma once

#include <LibHTTP/ClientConnection.h>
#include <boost/asio/io_context.hpp>
#include <map>
#include <mutex>
#include <vector>

namespace Comfreysail::HTTP {

/// Which idle connections a request may use.
enum class ReusePolicy {
    Any,
    /// Only a connection that carried a response within the last second. For non-idempotent requests: the target may
    /// close an older connection just as the request is sent, and then it is unknown whether the request ran.
    RecentlyUsed,
    None,
};

/// What a new connection is for.
enum class ConnectionUse : uint8_t {
    Request,
    Probe,
};

struct PoolOptions {
    /// Connections of the pool that may be open at the same time, in use or idle.
    size_t maxConnections { 100'000 };
    /// Of these, those that only requests may use.
    size_t reservedForRequests { 0 };
    size_t maxIdlePerEndpoint { 32 };
    /// A shorter time that the peer announces in `Keep-Alive` takes precedence.
    Core::Duration maxIdleTime { std::chrono::seconds(30) };
    ReadLimits limits;
};

/// Idle connections for each endpoint. Thread-safe; connections are used without holding the lock.
class ConnectionPool {
public:
    ConnectionPool(asio::io_context&, PoolOptions);

    /// Removes and returns an idle connection that is open and has received no bytes; nullptr if there is none. One
    /// that has carried the request id with this hash stays in the pool.
    std::shared_ptr<ClientConnection> take(
        Endpoint const&, ReusePolicy, Core::Instant now, std::optional<uint64_t> requestIdHash = std::nullopt);

    /// True if there is an idle connection to the endpoint that has not expired. The peer may have closed it.
    bool hasIdle(Endpoint const&, Core::Instant now) const;

    /// Makes room for a new connection within the limit by closing the connections that have been idle for the longest
    /// time. Returns false if all are in use; then none may be created for this use.
    bool makeRoom(ConnectionUse);

    /// Creates a connection, which the caller has to connect.
    std::shared_ptr<ClientConnection> create(Endpoint const&);

    /// Takes a connection back after its response was read completely. Keeps it if it can be reused, otherwise closes
    /// it.
    void release(std::shared_ptr<ClientConnection>, Core::Instant now);

    /// Closes a connection whose response is incomplete. If the endpoint did not respond in time (`wasUnresponsive`),
    /// older connections to it are no longer used; they are closed once a newer connection has received a response.
    void discard(std::shared_ptr<ClientConnection> const&, bool wasUnresponsive);

    void closeExpired(Core::Instant now);
    void closeAll();
    size_t idleConnections() const;
    /// All connections that are not closed.
    size_t openConnections() const { return *m_open; }

private:
    struct Entry {
        std::vector<std::shared_ptr<ClientConnection>> idle; ///< Ordered by last use, the most recent last.
        /// Opening time of the newest unresponsive connection; those opened until then are not reused.
        std::optional<Core::Instant> newestUnresponsiveOpenedAt;
    };

    bool isExpired(ClientConnection const&, Core::Instant now) const;
    /// Closes the connection that has been idle for the longest time. Returns false if none is idle.
    bool closeOldestIdle();

    asio::io_context& m_context;
    PoolOptions m_options;
    ClientConnection::OpenCount m_open { std::make_shared<std::atomic<size_t>>(0) };
    mutable std::mutex m_mutex;
    std::map<Endpoint, Entry> m_entries;
};

}
