#include <LibPeers/ByteBudget.h>
#include <LibPeers/Transport.h>
#include <LibWire/Codec.h>
#include <array>
#include <atomic>
#include <deque>
#include <glog/logging.h>
#include <map>
#include <mutex>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <zmq.hpp>

namespace Comfreysail::Peers {

using Core::Duration;
using Core::Instant;

namespace {

// Bytes: IP and TCP headers of the segment and of its acknowledgement (52 each), and the ZeroMQ frame header (2).
constexpr size_t overheadPerMessage = 52 + 52 + 2;
constexpr auto maxPollTimeout = std::chrono::milliseconds(500);
constexpr auto lingerOnStop = std::chrono::milliseconds(200);
constexpr int64_t maxMessageSize = int64_t { 8 } * 1024 * 1024;
constexpr size_t priorityCount = 2;

size_t priorityOf(Wire::Body const& body)
{
    auto const isBulk
        = std::holds_alternative<Moves::EvidenceDelta>(body) || std::holds_alternative<Wire::LoadReport>(body);
    return isBulk ? 1 : 0;
}

int toMilliseconds(Duration duration)
{
    return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

struct Outgoing {
    std::string endpoint;
    std::string bytes;
};

struct Connection {
    zmq::socket_t socket;
    Instant lastUsedAt;
};

}

class Transport::Implementation {
public:
    Implementation(TransportOptions options, Handler handler)
        : m_options(std::move(options))
        , m_handler(std::move(handler))
        , m_budget(m_options.bytesPerSecond, Core::monotonicNow())
    {
    }

    ~Implementation() { stop(); }

    Core::Result<Core::Empty> start()
    {
        auto const endpoint = "tcp://" + m_options.address + ":" + std::to_string(m_options.port);
        try {
            m_receiver = zmq::socket_t(m_context, zmq::socket_type::router);
            configureProbes(m_receiver);
            m_receiver.set(zmq::sockopt::maxmsgsize, maxMessageSize);
            m_receiver.set(zmq::sockopt::linger, 0);
            m_receiver.bind(endpoint);
        } catch (zmq::error_t const& error) {
            return Core::Error { Core::ErrorKind::PeerUnavailable, "bind " + endpoint + ": " + error.what() };
        }
        m_wakeupDescriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
        if (m_wakeupDescriptor < 0)
            return Core::Error { Core::ErrorKind::Internal, "eventfd failed" };
        m_thread = std::thread([this] { run(); });
        return Core::Empty {};
    }

    void stop()
    {
        if (!m_thread.joinable())
            return;
        m_isStopping = true;
        signalWakeup();
        m_thread.join();
        close(m_wakeupDescriptor);
    }

    void send(std::string endpoint, Wire::Message const& message)
    {
        auto bytes = Wire::encode(message);
        {
            std::scoped_lock const lock(m_mutex);
            auto& queue = m_queues[priorityOf(message.body)];
            // If the queue is full, the oldest message is dropped: messages of each kind are repeated or superseded.
            if (queue.size() >= m_options.queueLimit) {
                queue.pop_front();
                ++m_dropped;
            }
            queue.push_back({ std::move(endpoint), std::move(bytes) });
        }
        signalWakeup();
    }

    TransportCounters counters() const
    {
        return { m_sent, m_sentBytes, m_received, m_receivedBytes, m_dropped, m_malformed, m_connectionCount };
    }

private:
    void configureProbes(zmq::socket_t& socket) const
    {
        auto const interval = toMilliseconds(m_options.probeInterval);
        socket.set(zmq::sockopt::heartbeat_ivl, interval);
        socket.set(zmq::sockopt::heartbeat_timeout, 2 * interval);
        socket.set(zmq::sockopt::heartbeat_ttl, 4 * interval);
        // The default of 30 s would keep a connection open that stops responding before its handshake.
        socket.set(zmq::sockopt::handshake_ivl, 2 * interval);
    }

    void signalWakeup() const
    {
        if (m_wakeupDescriptor < 0)
            return;
        uint64_t const increment = 1;
        // The write fails only if the eventfd counter is at its maximum, and then a wakeup is already pending.
        [[maybe_unused]] auto const written = write(m_wakeupDescriptor, &increment, sizeof(increment));
    }

    void run()
    {
        while (!m_isStopping) {
            try {
                std::array<zmq::pollitem_t, 2> items {
                    zmq::pollitem_t { m_receiver.handle(), 0, ZMQ_POLLIN, 0 },
                    zmq::pollitem_t { nullptr, m_wakeupDescriptor, ZMQ_POLLIN, 0 },
                };
                zmq::poll(items, pollTimeout());
                if (items[1].revents != 0) {
                    uint64_t count = 0;
                    [[maybe_unused]] auto const consumed = read(m_wakeupDescriptor, &count, sizeof(count));
                }
                receiveAll();
                sendAll();
                closeIdleConnections();
            } catch (zmq::error_t const& error) {
                LOG(ERROR) << "event=peer_transport_error detail=\"" << error.what() << '"';
            }
        }
        sendAll();
        for (auto& [endpoint, connection] : m_connections)
            connection.socket.set(zmq::sockopt::linger, toMilliseconds(lingerOnStop));
        m_connections.clear();
        m_receiver.close();
    }

    std::chrono::milliseconds pollTimeout()
    {
        std::scoped_lock const lock(m_mutex);
        auto const hasQueuedMessages = !m_queues[0].empty() || !m_queues[1].empty();
        if (!hasQueuedMessages)
            return maxPollTimeout;
        auto const wait = std::chrono::duration_cast<std::chrono::milliseconds>(m_budget.untilBalance());
        return std::min(maxPollTimeout, wait + std::chrono::milliseconds(1));
    }

    void receiveAll()
    {
        zmq::message_t identity;
        zmq::message_t payload;
        while (m_receiver.recv(identity, zmq::recv_flags::dontwait)) {
            if (!identity.more() || !m_receiver.recv(payload, zmq::recv_flags::dontwait))
                continue;
            while (payload.more() && m_receiver.recv(payload, zmq::recv_flags::dontwait)) { }
            ++m_received;
            m_receivedBytes += payload.size() + overheadPerMessage;
            auto message = Wire::decode(payload.to_string_view());
            if (Core::isError(message)) {
                ++m_malformed;
                LOG_EVERY_N(WARNING, 100)
                    << "event=peer_message_malformed detail=\"" << Core::errorOf(message).detail << '"';
                continue;
            }
            m_handler(Core::takeValue(std::move(message)));
        }
    }

    void sendAll()
    {
        auto const now = Core::monotonicNow();
        while (m_budget.hasBalance(now)) {
            Outgoing outgoing;
            {
                std::scoped_lock const lock(m_mutex);
                auto& queue = m_queues[0].empty() ? m_queues[1] : m_queues[0];
                if (queue.empty())
                    return;
                outgoing = std::move(queue.front());
                queue.pop_front();
            }
            auto const size = outgoing.bytes.size() + overheadPerMessage;
            auto& connection = connectionTo(outgoing.endpoint);
            connection.lastUsedAt = now;
            if (!connection.socket.send(zmq::buffer(outgoing.bytes), zmq::send_flags::dontwait)) {
                ++m_dropped;
                continue;
            }
            m_budget.spend(size);
            ++m_sent;
            m_sentBytes += size;
        }
    }

    Connection& connectionTo(std::string const& endpoint)
    {
        auto const existing = m_connections.find(endpoint);
        if (existing != m_connections.end())
            return existing->second;
        zmq::socket_t socket(m_context, zmq::socket_type::dealer);
        configureProbes(socket);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, m_options.peerQueueLimit);
        socket.set(zmq::sockopt::reconnect_ivl, 100);
        socket.set(zmq::sockopt::reconnect_ivl_max, 2000);
        socket.set(zmq::sockopt::connect_timeout, 1000);
        socket.connect("tcp://" + endpoint);
        auto& connection = m_connections[endpoint];
        connection.socket = std::move(socket);
        m_connectionCount = m_connections.size();
        return connection;
    }

    void closeIdleConnections()
    {
        auto const now = Core::monotonicNow();
        std::erase_if(
            m_connections, [&](auto const& item) { return now - item.second.lastUsedAt > m_options.idleAfter; });
        m_connectionCount = m_connections.size();
    }

    TransportOptions m_options;
    Handler m_handler;
    zmq::context_t m_context { 1 };
    zmq::socket_t m_receiver;
    std::thread m_thread;
    std::atomic<bool> m_isStopping { false };
    int m_wakeupDescriptor { -1 };

    // Used by the transport's thread only.
    ByteBudget m_budget;
    std::map<std::string, Connection> m_connections;

    std::mutex m_mutex;
    std::array<std::deque<Outgoing>, priorityCount> m_queues;

    std::atomic<uint64_t> m_sent { 0 };
    std::atomic<uint64_t> m_sentBytes { 0 };
    std::atomic<uint64_t> m_received { 0 };
    std::atomic<uint64_t> m_receivedBytes { 0 };
    std::atomic<uint64_t> m_dropped { 0 };
    std::atomic<uint64_t> m_malformed { 0 };
    std::atomic<uint64_t> m_connectionCount { 0 };
};

Transport::Transport(TransportOptions options, Handler handler)
    : m_implementation(std::make_unique<Implementation>(std::move(options), std::move(handler)))
{
}

Transport::~Transport() = default;

Core::Result<Core::Empty> Transport::start() { return m_implementation->start(); }

void Transport::stop() { m_implementation->stop(); }

void Transport::send(std::string endpoint, Wire::Message const& message)
{
    m_implementation->send(std::move(endpoint), message);
}

TransportCounters Transport::counters() const { return m_implementation->counters(); }

}
