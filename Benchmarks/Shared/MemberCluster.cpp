#include "MemberCluster.h"
#include <algorithm>

namespace Comfreysail::Benchmarks {

using Core::Duration;
using Membership::Heartbeat;
using Membership::Member;
using namespace std::chrono_literals;

namespace {

constexpr Duration tickInterval = 100ms;

std::string endpointOf(Member const& member) { return member.address + ":" + std::to_string(member.peerMessagePort); }

}

MemberCluster::MemberCluster(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    route = [this](size_t, size_t) { return std::vector<Duration> { Duration(500 + m_random() % 1000) }; };
    // Names start with the zone, so that the nodes of a failed zone are neighbours on the ring, which is the worst
    // case.
    for (size_t index = 0; index < m_options.size; ++index) {
        auto const& zone = m_options.zones[index * m_options.zones.size() / m_options.size];
        add(zone + "-" + std::to_string(1000 + index), "10.0.0." + std::to_string(index), zone);
    }
}

size_t MemberCluster::add(std::string name, std::string address, std::string zone, size_t seedNode)
{
    Node node;
    node.member = { std::move(name), m_nextIncarnation++, std::move(zone), std::move(address), 80, 90 };
    node.table = makeTable(node.member, seedNode);
    node.nextTick = m_now + Duration(m_random() % tickInterval.count());
    m_byEndpoint.emplace(endpointOf(node.member), m_nodes.size());
    m_nodes.push_back(std::move(node));
    return m_nodes.size() - 1;
}

void MemberCluster::restart(size_t index)
{
    auto& node = m_nodes[index];
    node.member.incarnation = m_nextIncarnation++;
    node.table = makeTable(node.member, index == 0 ? 1 : 0);
    node.waiting.clear();
    node.isDown = node.isPaused = false;
    node.nextTick = m_now;
}

void MemberCluster::run(Duration duration)
{
    auto const end = m_now + duration;
    while (true) {
        auto const next = std::min_element(m_nodes.begin(), m_nodes.end(),
            [](Node const& left, Node const& right) { return left.nextTick < right.nextTick; });
        auto const arrival = m_queue.nextArrival();
        auto const isArrival = arrival && *arrival <= next->nextTick;
        auto const time = isArrival ? *arrival : next->nextTick;
        if (time > end)
            break;
        m_now = time;
        if (isArrival) {
            auto const delivery = m_queue.pop();
            receive(delivery.to, delivery.heartbeat);
            continue;
        }
        next->nextTick += tickInterval;
        if (next->isDown || next->isPaused)
            continue;
        auto const index = static_cast<size_t>(next - m_nodes.begin());
        send(index, next->table->tick(m_now));
        for (auto const& heartbeat : std::exchange(next->waiting, {}))
            receive(index, heartbeat);
    }
    m_now = end;
}

bool MemberCluster::sees(size_t observer, size_t observed) const
{
    auto const live = m_nodes[observer].table->live(m_now);
    auto const& member = m_nodes[observed].member;
    return std::any_of(live.begin(), live.end(),
        [&](Member const& other) { return other.name == member.name && other.incarnation >= member.incarnation; });
}

size_t MemberCluster::agreeing() const
{
    std::vector<std::string> expected;
    for (auto const& node : m_nodes) {
        if (!node.isDown)
            expected.push_back(node.member.name);
    }
    std::sort(expected.begin(), expected.end());
    return static_cast<size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [&](Node const& node) {
        if (node.isDown)
            return false;
        std::vector<std::string> names;
        for (auto const& member : node.table->live(m_now))
            names.push_back(member.name);
        return names == expected;
    }));
}

void MemberCluster::adopt(size_t index, uint64_t revision)
{
    auto& node = m_nodes[index];
    if (revision <= node.settingsRevision)
        return;
    node.settingsRevision = revision;
    node.table->setSettingsRevision(revision);
    send(index, node.table->tick(m_now));
}

void MemberCluster::send(size_t from, std::vector<Membership::OutgoingHeartbeat> const& outgoing)
{
    for (auto const& [endpoint, sent] : outgoing) {
        auto const [first, end] = m_byEndpoint.equal_range(endpoint);
        for (auto position = first; position != end; ++position) {
            auto const to = position->second;
            auto heartbeat = sent;
            if (onSend)
                onSend(from, to, heartbeat);
            for (auto const delay : route(from, to))
                m_queue.push(m_now + delay, { to, heartbeat });
        }
    }
}

void MemberCluster::receive(size_t index, Heartbeat const& heartbeat)
{
    auto& node = m_nodes[index];
    if (node.isDown)
        return;
    if (node.isPaused) {
        node.waiting.push_back(heartbeat);
        return;
    }
    send(index, node.table->merge(heartbeat, m_now));
    adopt(index, heartbeat.settingsRevision);
}

std::unique_ptr<Membership::MemberTable> MemberCluster::makeTable(Member const& member, size_t seedNode)
{
    auto options = m_options.membership;
    if (seedNode < m_nodes.size())
        options.seeds = { endpointOf(m_nodes[seedNode].member) };
    return std::make_unique<Membership::MemberTable>(member, std::move(options), m_now);
}

}
