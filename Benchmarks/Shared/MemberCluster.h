#pragma once

#include "DelayedQueue.h"
#include <LibMembership/Membership.h>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Comfreysail::Benchmarks {

/// Simulates a cluster in one process: member tables that exchange heartbeats through a queue with delays, with a
/// simulated clock and without sockets or threads. Benchmarks and tests share it.
class MemberCluster {
public:
    struct Node {
        std::unique_ptr<Membership::MemberTable> table;
        Membership::Member member;
        Core::Instant nextTick;
        bool isDown { false };
        bool isPaused { false }; ///< Received messages wait, as in the socket buffers of a stopped process.
        uint64_t settingsRevision { 0 };
        std::vector<Membership::Heartbeat> waiting;
    };

    struct Options {
        size_t size { 14 };
        std::vector<std::string> zones { "arima", "chaguanas", "tunapuna" };
        Membership::MembershipOptions membership;
        uint64_t seed { 1 };
    };

    explicit MemberCluster(Options);

    /// Starts another daemon, which joins through the seed node, by default node 0. Returns its index.
    size_t add(std::string name, std::string address, std::string zone, size_t seedNode = 0);
    /// Restarts the daemon of this node without a graceful shutdown.
    void restart(size_t index);
    /// Advances the simulated time.
    void run(Core::Duration);

    Node& node(size_t index) { return m_nodes[index]; }
    Membership::MemberTable& table(size_t index) { return *m_nodes[index].table; }
    size_t size() const { return m_nodes.size(); }
    Core::Instant now() const { return m_now; }
    /// Returns true if the observer sees the observed node as live, with its current incarnation.
    bool sees(size_t observer, size_t observed) const;
    /// Returns the number of running nodes whose live members are exactly the running nodes.
    size_t agreeing() const;
    /// Sets a newer settings revision at a node, which sends it to its peers at once.
    void adopt(size_t index, uint64_t revision);

    /// Returns the delay of each copy of a message that arrives; empty if the message is lost.
    std::function<std::vector<Core::Duration>(size_t from, size_t to)> route;
    /// Called for each message before it is sent; may change it.
    std::function<void(size_t from, size_t to, Membership::Heartbeat&)> onSend;

    std::mt19937_64& random() { return m_random; }

private:
    struct Delivery {
        size_t to;
        Membership::Heartbeat heartbeat;
    };

    void send(size_t from, std::vector<Membership::OutgoingHeartbeat> const&);
    void receive(size_t index, Membership::Heartbeat const&);
    std::unique_ptr<Membership::MemberTable> makeTable(Membership::Member const&, size_t seedNode);

    Options m_options;
    std::mt19937_64 m_random;
    Core::Instant m_now { std::chrono::hours(1) };
    uint64_t m_nextIncarnation { 1 };
    std::vector<Node> m_nodes;
    std::multimap<std::string, size_t> m_byEndpoint;
    DelayedQueue<Delivery> m_queue;
};

}
