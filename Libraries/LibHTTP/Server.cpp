#include <LibHTTP/Server.h>

#include <LibHTTP/ServerSession.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <optional>
#include <vector>

namespace Comfreysail::HTTP {

using Core::Empty;
using Core::Error;
using Core::ErrorKind;
using Core::Result;

namespace {

constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);
// Connections above the limit while those that were given up for them have not closed yet.
constexpr size_t maxConnectionsAboveLimit = 8;
constexpr size_t percent = 100;

std::string remoteAddress(tcp::socket const& socket)
{
    ErrorCode error;
    auto const endpoint = socket.remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string();
}

}

std::string_view limitName(ClientLimit limit)
{
    switch (limit) {
    case ClientLimit::Connections:
        return "connections";
    case ClientLimit::ConnectionsPerAddress:
        return "connections_per_address";
    case ClientLimit::GivenUp:
        return "given_up";
    case ClientLimit::Header:
        return "header";
    case ClientLimit::HeadMemory:
        return "head_memory";
    case ClientLimit::RequestsAhead:
        return "requests_ahead";
    case ClientLimit::RequestsAtTargets:
        return "requests_at_targets";
    case ClientLimit::SendRate:
        return "send_rate";
    case ClientLimit::ReadRate:
        return "read_rate";
    case ClientLimit::Descriptors:
        return "descriptors";
    }
    return "unknown";
}

std::shared_ptr<Server> Server::create(asio::io_context& context, ServerOptions options, Handler handler)
{
    return std::shared_ptr<Server>(new Server(context, std::move(options), std::move(handler)));
}

Server::Server(asio::io_context& context, ServerOptions options, Handler handler)
    : m_context(context)
    , m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_acceptStrand(asio::make_strand(context))
    , m_acceptor(m_acceptStrand)
{
}

Result<Empty> Server::start()
{
    auto const where = m_options.address + ":" + std::to_string(m_options.port);
    ErrorCode error;
    auto const address = asio::ip::make_address(m_options.address, error);
    if (error)
        return Error { ErrorKind::InvalidSettings, where + ": not an IP address" };
    tcp::endpoint const endpoint(address, m_options.port);
    m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(tcp::acceptor::max_listen_connections, error);
    if (error)
        return Error { ErrorKind::Internal, where + ": " + error.message() };
    m_port = m_acceptor.local_endpoint().port();
    asio::co_spawn(
        m_acceptStrand, [self = shared_from_this()]() -> awaitable<void> { return self->acceptLoop(); },
        asio::detached);
    return Empty {};
}

awaitable<void> Server::acceptLoop()
{
    auto const self = shared_from_this();
    asio::steady_timer retryTimer(m_acceptStrand);
    while (m_acceptor.is_open()) {
        auto [error, socket] = co_await m_acceptor.async_accept(m_context.get_executor(), useTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            // Probably out of file descriptors; without a delay the loop would spin and use a whole core.
            noteLimit(ClientLimit::Descriptors, {});
            retryTimer.expires_after(acceptRetryDelay);
            co_await retryTimer.async_wait(useTuple);
            continue;
        }
        serve(std::move(socket));
    }
}

void Server::serve(tcp::socket socket)
{
    auto const address = remoteAddress(socket);
    if (auto const limit = makeRoom(address)) {
        // The socket closes here, which makes the platform's load balancer use another VM immediately.
        noteLimit(*limit, address);
        return;
    }
    asio::any_io_executor const strand = asio::make_strand(m_context);
    auto session = std::make_shared<Session>(shared_from_this(), std::move(socket), address, strand);
    addSession(session);
    asio::co_spawn(
        strand, [session]() -> awaitable<void> { co_await session->run(); }, asio::detached);
}

void Server::stopAccepting()
{
    asio::post(m_acceptStrand, [self = shared_from_this()] {
        // Closing the listening socket would reset the connections that callers have opened and that wait in the
        // kernel, perhaps with a request.
        ErrorCode error;
        self->m_acceptor.cancel(error);
        self->m_acceptor.non_blocking(true, error);
        while (!error) {
            auto socket = self->m_acceptor.accept(self->m_context.get_executor(), error);
            if (!error)
                self->serve(std::move(socket));
        }
        self->m_acceptor.close(error);
    });
}

void Server::closeIdleConnections()
{
    m_closesIdleConnections = true;
    std::vector<std::shared_ptr<Session>> sessions;
    {
        std::lock_guard const lock(m_mutex);
        for (auto const& [key, weak] : m_sessions) {
            if (auto session = weak.lock())
                sessions.push_back(std::move(session));
        }
    }
    for (auto const& session : sessions)
        session->closeIfIdle();
}

std::optional<ClientLimit> Server::makeRoom(std::string const& address)
{
    std::vector<WaitingConnection> victims;
    std::optional<ClientLimit> limit;
    {
        std::lock_guard const lock(m_mutex);
        auto const now = Core::monotonicNow();
        auto const maxConnections = m_options.maxConnections;
        // Rounded up, so that a small limit has no share below itself.
        auto const share = (maxConnections * m_options.addressSharePercent + percent - 1) / percent;
        auto const found = m_connectionsByAddress.find(address);
        if (m_sessions.size() >= maxConnections + maxConnectionsAboveLimit)
            return ClientLimit::Connections;
        bool const isOverShare = found != m_connectionsByAddress.end() && found->second >= share;
        auto const give = [&](std::optional<std::string> const& from) {
            auto const victim = m_waiting.take(now, from);
            if (victim) {
                victims.push_back(*victim);
                m_givenUp.insert(victim->id);
            }
            return victim.has_value();
        };
        if (isOverShare && !give(address))
            limit = ClientLimit::ConnectionsPerAddress;
        while (!limit && m_sessions.size() - m_givenUp.size() >= maxConnections) {
            if (!give(std::nullopt))
                limit = ClientLimit::Connections;
        }
    }
    for (auto const& victim : victims)
        giveUp(victim);
    return limit;
}

void Server::giveUp(WaitingConnection const& victim)
{
    std::shared_ptr<Session> session;
    {
        std::lock_guard const lock(m_mutex);
        auto const found = m_sessions.find(victim.id);
        if (found != m_sessions.end())
            session = found->second.lock();
    }
    if (session)
        session->giveUp(victim.wait);
}

void Server::giveUpUnreadResponse()
{
    std::optional<WaitingConnection> victim;
    {
        std::lock_guard const lock(m_mutex);
        victim = m_waiting.takeUnreadResponse(Core::monotonicNow());
        if (victim)
            m_givenUp.insert(victim->id);
    }
    if (victim)
        giveUp(*victim);
}

void Server::addSession(std::shared_ptr<Session> const& session)
{
    std::lock_guard const lock(m_mutex);
    m_sessions.emplace(session->id(), session);
    ++m_connectionsByAddress[session->address()];
}

void Server::removeSession(Session const& session)
{
    std::lock_guard const lock(m_mutex);
    m_sessions.erase(session.id());
    m_waiting.remove(session.id());
    m_givenUp.erase(session.id());
    auto const found = m_connectionsByAddress.find(session.address());
    if (found != m_connectionsByAddress.end() && --found->second == 0)
        m_connectionsByAddress.erase(found);
}

void Server::noteWait(Session const& session, ClientWait wait)
{
    std::lock_guard const lock(m_mutex);
    // A session that is about to close must not be chosen again.
    if (!m_givenUp.contains(session.id()))
        m_waiting.note(session.id(), session.address(), wait, Core::monotonicNow());
}

void Server::noteKept(Session const& session)
{
    std::lock_guard const lock(m_mutex);
    m_givenUp.erase(session.id());
}

void Server::noteLimit(ClientLimit limit, std::string const& address) const
{
    if (m_options.onLimit)
        m_options.onLimit(limit, address);
}

bool Server::tryTakeHeadMemory(size_t bytes)
{
    if (m_headMemoryBytes + bytes > m_options.maxHeadMemoryBytes)
        return false;
    m_headMemoryBytes += bytes;
    return true;
}

size_t Server::connections() const
{
    std::lock_guard const lock(m_mutex);
    return m_sessions.size();
}

}
