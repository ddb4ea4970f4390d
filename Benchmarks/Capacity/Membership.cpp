#include "Meter.h"
#include "Roles.h"
#include <LibMembership/Membership.h>
#include <LibWire/Wire.h>
#include <map>
#include <memory>

namespace Comfreysail::Capacity {

namespace {

/// Bytes of the TCP/IP headers of one message, of its acknowledgement, and of the ZeroMQ framing.
constexpr double framingBytes = 52 + 52 + 4;

struct ControlCost {
    double bytesPerSecond { 0 }; ///< Sent and received by one daemon.
    double microsecondsPerSecond { 0 };
    double memoryBytes { 0 };
};

Membership::Member makeMember(size_t index)
{
    auto name = "entry-" + std::to_string(1000 + index);
    return { .name = std::move(name),
        .incarnation = Membership::makeIncarnation(1'800'000'000'000, index),
        .availabilityZone = "zone-" + std::to_string(index % 11),
        .address = "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1),
        .peerHttpPort = 8081,
        .peerMessagePort = 8083 };
}

/// Simulates the membership protocol of all daemons, with every heartbeat encoded and decoded, and returns the mean
/// cost for one daemon.
ControlCost measureControl(size_t count)
{
    constexpr int warmUpSteps = 100;
    constexpr int measuredSteps = 100;
    constexpr auto stepTime = std::chrono::milliseconds(100);
    Core::Instant now {};
    auto const before = allocatedBytes();
    std::map<std::string, std::unique_ptr<Membership::MemberTable>> tables;
    Membership::MembershipOptions options;
    auto const seed = makeMember(0);
    options.seeds = { seed.address + ":" + std::to_string(seed.peerMessagePort) };
    for (size_t index = 0; index < count; ++index) {
        auto const member = makeMember(index);
        tables[member.address + ":" + std::to_string(member.peerMessagePort)]
            = std::make_unique<Membership::MemberTable>(member, options, now);
    }
    size_t bytes = 0;
    size_t messages = 0;
    double processorTime = 0;
    std::vector<std::pair<std::string, std::string>> queue;
    auto send = [&](Membership::MemberTable const& from, std::vector<Membership::OutgoingHeartbeat> const& outgoing) {
        for (auto const& heartbeat : outgoing) {
            queue.emplace_back(heartbeat.endpoint,
                Wire::encode({ from.self().name, from.self().incarnation, 1, heartbeat.heartbeat }));
            bytes += queue.back().second.size();
            ++messages;
        }
    };
    for (int step = 0; step < warmUpSteps + measuredSteps; ++step) {
        if (step == warmUpSteps) {
            bytes = messages = 0;
            processorTime = processorMicroseconds();
        }
        now += stepTime;
        for (auto& [endpoint, table] : tables) {
            table->noteStoreAnswered(now, now);
            send(*table, table->tick(now));
        }
        for (int round = 0; round < 3 && !queue.empty(); ++round) {
            auto const delivered = std::exchange(queue, {});
            for (auto const& [endpoint, encoded] : delivered) {
                auto const found = tables.find(endpoint);
                auto const message = Wire::decode(encoded);
                if (found == tables.end() || Core::isError(message))
                    continue;
                send(*found->second,
                    found->second->merge(std::get<Membership::Heartbeat>(Core::valueOf(message).body), now));
            }
        }
    }
    auto const seconds = measuredSteps * 0.1;
    auto const daemons = static_cast<double>(count);
    auto const sent = static_cast<double>(bytes) + static_cast<double>(messages) * framingBytes;
    return { .bytesPerSecond = 2 * sent / seconds / daemons,
        .microsecondsPerSecond = (processorMicroseconds() - processorTime) / seconds / daemons,
        .memoryBytes = (allocatedBytes() - before) / daemons };
}

}

std::vector<Series> measureMembership()
{
    Series bytes { "membership", "bytes_per_second", "daemons", {} };
    Series time { "membership", "microseconds_per_second", "daemons", {} };
    Series memory { "membership", "table_bytes", "daemons", {} };
    for (size_t daemons : { 14, 60, 120, 200 }) {
        auto const cost = measureControl(daemons);
        auto const size = static_cast<double>(daemons);
        bytes.points.push_back({ size, cost.bytesPerSecond });
        time.points.push_back({ size, cost.microsecondsPerSecond });
        memory.points.push_back({ size, cost.memoryBytes });
    }
    return { bytes, time, memory };
}

}
