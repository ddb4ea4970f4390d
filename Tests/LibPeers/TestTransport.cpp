#include <LibPeers/Peers.h>
#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace Comfreysail;
using namespace Comfreysail::Peers;
using namespace std::chrono_literals;

namespace {

/// A TCP port of the loopback interface. The socket `listener` reserves it and accepts no connections.
struct LoopbackPort {
    explicit LoopbackPort(uint16_t requestedPort = 0)
        : listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        int const one = 1;
        setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(requestedPort);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address), length) == 0);
        REQUIRE(getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length) == 0);
        number = ntohs(address.sin_port);
    }
    ~LoopbackPort() { release(); }
    LoopbackPort(LoopbackPort const&) = delete;
    LoopbackPort& operator=(LoopbackPort const&) = delete;

    void release()
    {
        if (listener >= 0)
            close(listener);
        listener = -1;
    }

    int listener;
    uint16_t number { 0 };
};

uint16_t freePort() { return LoopbackPort().number; }

std::string endpointOf(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

Wire::Message messageOf(uint64_t sequence, Wire::Body body) { return { "vm-1", 1, sequence, std::move(body) }; }

/// A transport that stores the messages that it receives.
struct ReceivingTransport {
    explicit ReceivingTransport(TransportOptions const& options)
        : transport(options, [this](Wire::Message message) {
            std::scoped_lock const lock(mutex);
            messages.push_back(std::move(message));
        })
    {
        REQUIRE_FALSE(Core::isError(transport.start()));
    }
    size_t count()
    {
        std::scoped_lock const lock(mutex);
        return messages.size();
    }
    bool waitFor(size_t expected, Core::Duration timeout)
    {
        for (auto const end = Core::monotonicNow() + timeout; Core::monotonicNow() < end;) {
            if (count() >= expected)
                return true;
            std::this_thread::sleep_for(5ms);
        }
        return count() >= expected;
    }

    std::mutex mutex;
    std::vector<Wire::Message> messages;
    Transport transport;
};

}

// Verdicts and crash reports must arrive complete and in order.
TEST_CASE("Transport_ManyMessages_ArriveInOrder")
{
    auto const port = freePort();
    ReceivingTransport receiver({ .port = port });
    ReceivingTransport sender({ .port = freePort() });
    for (uint64_t sequence = 0; sequence < 50; ++sequence)
        sender.transport.send(
            endpointOf(port), messageOf(sequence, Wire::CrashReport { sequence, "target-1@1796380109479" }));
    REQUIRE(receiver.waitFor(50, 5s));
    for (uint64_t sequence = 0; sequence < 50; ++sequence)
        CHECK(receiver.messages[sequence]
            == messageOf(sequence, Wire::CrashReport { sequence, "target-1@1796380109479" }));
    CHECK(sender.transport.counters().sentMessages == 50);
    CHECK(receiver.transport.counters().receivedMessages == 50);
}

// If a daemon restarts at the same address, its peers must reach it without restarting themselves.
TEST_CASE("Transport_PeerRestarts_IsReachedAgain")
{
    auto const port = freePort();
    ReceivingTransport sender({ .port = freePort() });
    {
        ReceivingTransport first({ .port = port });
        sender.transport.send(endpointOf(port), messageOf(1, Wire::DrainNotice {}));
        REQUIRE(first.waitFor(1, 3s));
    }
    ReceivingTransport second({ .port = port });
    for (int attempt = 0; attempt < 50 && second.count() == 0; ++attempt) {
        sender.transport.send(endpointOf(port), messageOf(2, Wire::DrainNotice {}));
        std::this_thread::sleep_for(100ms);
    }
    CHECK(second.count() > 0);
}

// A connection can stop responding permanently while new connections to the same peer work. It must be replaced, or all
// further messages would be lost.
TEST_CASE("Transport_SilentConnection_IsReplaced")
{
    // The first connection is accepted by a socket that never responds, as after a network fault.
    LoopbackPort silent;
    REQUIRE(listen(silent.listener, 1) == 0);
    ReceivingTransport sender({ .port = freePort(), .probeInterval = 200ms });
    sender.transport.send(endpointOf(silent.number), messageOf(1, Wire::DrainNotice {}));
    auto const connection = accept(silent.listener, nullptr, nullptr);
    REQUIRE(connection >= 0);
    silent.release();
    ReceivingTransport receiver({ .port = silent.number });
    for (int attempt = 0; attempt < 100 && receiver.count() == 0; ++attempt) {
        sender.transport.send(endpointOf(silent.number), messageOf(2, Wire::DrainNotice {}));
        std::this_thread::sleep_for(100ms);
    }
    CHECK(receiver.count() > 0);
    close(connection);
}

// Messages to an unreachable peer must neither block the caller nor accumulate without limit.
TEST_CASE("Transport_UnreachablePeer_DropsAndCounts")
{
    ReceivingTransport sender(
        { .port = freePort(), .bytesPerSecond = 10'000'000, .queueLimit = 100, .peerQueueLimit = 10 });
    auto const start = Core::monotonicNow();
    for (uint64_t sequence = 0; sequence < 1000; ++sequence)
        sender.transport.send(endpointOf(freePort()), messageOf(sequence, Wire::DrainNotice {}));
    CHECK(Core::monotonicNow() - start < 2s);
    for (int attempt = 0; attempt < 100 && sender.transport.counters().droppedMessages == 0; ++attempt)
        std::this_thread::sleep_for(10ms);
    CHECK(sender.transport.counters().droppedMessages > 0);
}

// Control traffic above its budget takes bandwidth from the calls. When the budget is exhausted, the other messages
// must be sent before evidence and load reports.
TEST_CASE("Transport_BudgetExhausted_LimitsBytesAndSendsHighPriorityFirst")
{
    auto const port = freePort();
    ReceivingTransport receiver({ .port = port });
    ReceivingTransport sender({ .port = freePort(), .bytesPerSecond = 10'000, .peerQueueLimit = 1000 });
    auto const start = Core::monotonicNow();
    for (uint64_t sequence = 0; sequence < 400; ++sequence)
        sender.transport.send(endpointOf(port), messageOf(sequence, Wire::LoadReport { "orders", "arima" }));
    sender.transport.send(endpointOf(port), messageOf(1000, Wire::MoveVerdict { "m1", "" }));
    std::this_thread::sleep_for(1500ms);
    auto const seconds = std::chrono::duration<double>(Core::monotonicNow() - start).count();
    CHECK(static_cast<double>(sender.transport.counters().sentBytes) < 10'000 * (seconds + 1) + 500);
    std::scoped_lock const lock(receiver.mutex);
    auto const isVerdict = [](Wire::Message const& message) { return message.sequence == 1000; };
    CHECK(std::any_of(receiver.messages.begin(), receiver.messages.end(), isVerdict));
    CHECK(receiver.messages.size() < 400);
}

// If two daemons used one port, each would receive only part of the messages. Starting the second one must fail.
TEST_CASE("Transport_PortInUse_FailsWithPeerUnavailable")
{
    auto const port = freePort();
    ReceivingTransport first({ .port = port });
    Transport second({ .port = port }, [](Wire::Message const&) {});
    auto const result = second.start();
    REQUIRE(Core::isError(result));
    CHECK(Core::errorOf(result).kind == Core::ErrorKind::PeerUnavailable);
}
