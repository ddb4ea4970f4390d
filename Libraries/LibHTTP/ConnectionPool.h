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
    /// Only one that carried a response within the last second. For requests that must not run twice: on an older
    /// connection the target may be closing just as the request is sent, and then nobody knows whether it ran.
    RecentlyUsed,
    None,
};

struct PoolOptions {
    size_t maxIdlePerEndpoint { 32 };
    Core::Duration maxIdleTime { std::chrono::seconds(30) };
    ReadLimits limits;
};

/// Idle connections by endpoint. Thread safe; connections are used outside the lock.
class ConnectionPool {
public:
    ConnectionPool(asio::io_context&, PoolOptions);

    /// An idle connection that is still open and silent, or nullptr.
    std::shared_ptr<ClientConnection> take(Endpoint const&, ReusePolicy, Core::Instant now);

    /// A connection that is not connected yet.
    std::shared_ptr<ClientConnection> create(Endpoint const&);

    /// Ends an exchange whose response was read to its end. Keeps the connection when it can be reused, otherwise
    /// closes it.
    void giveBack(std::shared_ptr<ClientConnection>, Core::Instant now);

    /// Ends an exchange without a complete response: the connection is closed. When the reason was silence, older
    /// connections to the endpoint are not used until a newer one has worked, and then they are closed.
    void discard(std::shared_ptr<ClientConnection> const&, bool wasUnresponsive);

    void closeExpired(Core::Instant now);
    void closeAll();
    size_t idleConnections() const;

private:
    struct Entry {
        std::vector<std::shared_ptr<ClientConnection>> idle; ///< The most recently used one is last.
        std::optional<Core::Instant> unresponsiveOpenedAt;
    };

    asio::io_context& m_context;
    PoolOptions m_options;
    mutable std::mutex m_mutex;
    std::map<Endpoint, Entry> m_entries;
};

}
