#include <LibHTTP/ConnectionPool.h>

#include <algorithm>

namespace Comfreysail::HTTP {

namespace {

constexpr auto maxRecentIdleTime = std::chrono::seconds(1); // design.md, section 3.5
// The peer counts its idle time from when it sent the response, and a request takes time to arrive. The margin is a
// fifth of a short idle timeout, and at most 2 s.
constexpr int keepAliveMarginDivisor = 5;
constexpr Core::Duration maxKeepAliveMargin = std::chrono::seconds(2);

Core::Duration idleTime(ClientConnection const& connection, Core::Instant now)
{
    return now - connection.lastResponseAt().value_or(Core::Instant {});
}

}

ConnectionPool::ConnectionPool(asio::io_context& context, PoolOptions options)
    : m_context(context)
    , m_options(options)
{
}

bool ConnectionPool::closeOldestIdle()
{
    std::lock_guard const lock(m_mutex);
    Entry* oldest = nullptr;
    for (auto& [endpoint, entry] : m_entries) {
        bool const isOlder = !entry.idle.empty()
            && (!oldest || entry.idle.front()->lastResponseAt() < oldest->idle.front()->lastResponseAt());
        if (isOlder)
            oldest = &entry;
    }
    if (!oldest)
        return false;
    oldest->idle.front()->close();
    oldest->idle.erase(oldest->idle.begin());
    return true;
}

bool ConnectionPool::makeRoom(ConnectionUse use)
{
    auto const reserved = use == ConnectionUse::Request ? 0 : m_options.reservedForRequests;
    auto const limit = m_options.maxConnections - std::min(reserved, m_options.maxConnections);
    while (openConnections() >= limit) {
        if (!closeOldestIdle())
            return false;
    }
    return true;
}

std::shared_ptr<ClientConnection> ConnectionPool::create(Endpoint const& endpoint)
{
    return std::make_shared<ClientConnection>(m_context.get_executor(), endpoint, m_options.limits, m_open);
}

std::shared_ptr<ClientConnection> ConnectionPool::take(
    Endpoint const& endpoint, ReusePolicy policy, Core::Instant now, std::optional<uint64_t> requestIdHash)
{
    if (policy == ReusePolicy::None)
        return nullptr;
    std::lock_guard const lock(m_mutex);
    auto const found = m_entries.find(endpoint);
    if (found == m_entries.end())
        return nullptr;
    auto& entry = found->second;
    for (auto index = entry.idle.size(); index-- > 0;) {
        auto connection = entry.idle[index];
        auto const position = entry.idle.begin() + static_cast<ptrdiff_t>(index);
        if (policy == ReusePolicy::RecentlyUsed && idleTime(*connection, now) > maxRecentIdleTime)
            return nullptr; // The remaining connections have been idle for longer.
        if (isExpired(*connection, now)) {
            connection->close();
            entry.idle.erase(position);
            continue;
        }
        if (entry.newestUnresponsiveOpenedAt && connection->openedAt() <= *entry.newestUnresponsiveOpenedAt)
            return nullptr;
        if (requestIdHash && connection->hasCarried(*requestIdHash))
            continue;
        entry.idle.erase(position);
        if (connection->isOpenWithoutInput())
            return connection;
        connection->close();
    }
    return nullptr;
}

bool ConnectionPool::hasIdle(Endpoint const& endpoint, Core::Instant now) const
{
    std::lock_guard const lock(m_mutex);
    auto const found = m_entries.find(endpoint);
    return found != m_entries.end()
        && std::ranges::any_of(found->second.idle, [&](auto const& idle) { return !isExpired(*idle, now); });
}

bool ConnectionPool::isExpired(ClientConnection const& connection, Core::Instant now) const
{
    auto maxIdleTime = m_options.maxIdleTime;
    if (auto const timeout = connection.announcedIdleTimeout())
        maxIdleTime = std::min(maxIdleTime, *timeout - std::min(*timeout / keepAliveMarginDivisor, maxKeepAliveMargin));
    return idleTime(connection, now) > maxIdleTime;
}

void ConnectionPool::release(std::shared_ptr<ClientConnection> connection, Core::Instant now)
{
    connection->noteResponse(now);
    bool const isReusable = connection->isReusable() && connection->isOpenWithoutInput();
    if (!isReusable)
        connection->close();
    std::lock_guard const lock(m_mutex);
    auto& entry = m_entries[connection->endpoint()];
    if (entry.newestUnresponsiveOpenedAt && connection->openedAt() > *entry.newestUnresponsiveOpenedAt) {
        std::erase_if(
            entry.idle, [&](auto const& idle) { return idle->openedAt() <= *entry.newestUnresponsiveOpenedAt; });
        entry.newestUnresponsiveOpenedAt.reset();
    }
    if (!isReusable)
        return;
    entry.idle.push_back(std::move(connection));
    if (entry.idle.size() > m_options.maxIdlePerEndpoint)
        entry.idle.erase(entry.idle.begin());
}

void ConnectionPool::discard(std::shared_ptr<ClientConnection> const& connection, bool wasUnresponsive)
{
    connection->close();
    if (!wasUnresponsive)
        return;
    std::lock_guard const lock(m_mutex);
    auto& newestOpenedAt = m_entries[connection->endpoint()].newestUnresponsiveOpenedAt;
    newestOpenedAt = std::max(newestOpenedAt.value_or(Core::Instant {}), connection->openedAt());
}

void ConnectionPool::closeExpired(Core::Instant now)
{
    std::lock_guard const lock(m_mutex);
    for (auto& [endpoint, entry] : m_entries) {
        std::erase_if(
            entry.idle, [&](auto const& idle) { return isExpired(*idle, now) || !idle->isOpenWithoutInput(); });
    }
    std::erase_if(m_entries,
        [](auto const& item) { return item.second.idle.empty() && !item.second.newestUnresponsiveOpenedAt; });
}

void ConnectionPool::closeAll()
{
    std::lock_guard const lock(m_mutex);
    m_entries.clear();
}

size_t ConnectionPool::idleConnections() const
{
    std::lock_guard const lock(m_mutex);
    size_t count = 0;
    for (auto const& [endpoint, entry] : m_entries)
        count += entry.idle.size();
    return count;
}

}
