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

/// Several member tables in one process that exchange heartbeats through a queue with delay. No sockets and no threads;
/// the present time is a number. Benches and contract tests share it.
class MemberCluster {
public:
    struct Node {
        std::unique_ptr<Membership::MemberTable> table;
        Membership::Member member;
        Core::Instant nextTick;
        bool isDown { false };
        bool isPaused { false }; ///< Its messages wait, as in the socket buffers of a stopped process.
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

    /// Starts another daemon; it joins through node 0 or the one given.
    size_t add(std::string name, std::string address, std::string zone, size_t seedNode = 0);
    /// The process at this node ends without notice and starts again.
    void restart(size_t index);
    void run(Core::Duration);

    Node& node(size_t index) { return m_nodes[index]; }
    Membership::MemberTable& table(size_t index) { return *m_nodes[index].table; }
    size_t size() const { return m_nodes.size(); }
    Core::Instant now() const { return m_now; }
    bool sees(size_t observer, size_t observed) const;
    /// Number of running nodes that see exactly the running nodes as live.
    size_t agreeing() const;
    /// Gives a node newer settings and lets it tell the others.
    void adopt(size_t index, uint64_t revision);

    /// Delays of the copies that arrive; empty when the message is lost.
    std::function<std::vector<Core::Duration>(size_t from, size_t to)> route;
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
