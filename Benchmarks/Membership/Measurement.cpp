#include "Measurement.h"
#include <LibWire/Wire.h>
#include <Shared/MemberCluster.h>
#include <algorithm>
#include <set>

namespace Comfreysail::Benchmarks {

using namespace std::chrono_literals;
using Core::Duration;

namespace {

// TCP/IP headers (52 bytes), a separate TCP acknowledgement (52 bytes) and the ZeroMQ frame header (2 bytes). This is
// an upper bound, because acknowledgements are often piggybacked on other messages.
constexpr size_t overheadPerMessage = 52 + 52 + 2;

std::set<size_t> chooseFailedNodes(MemberCluster& cluster, Failure failure)
{
    std::set<size_t> failed;
    if (failure == Failure::TenPercent) {
        while (failed.size() * 10 < cluster.size())
            failed.insert(1 + cluster.random()() % (cluster.size() - 1));
    }
    if (failure == Failure::OneZone) {
        for (size_t index = 0; index < cluster.size(); ++index) {
            if (cluster.node(index).member.availabilityZone == "chaguanas")
                failed.insert(index);
        }
    }
    return failed;
}

}

Measurement measure(Topology const& topology, size_t size, Failure failure, uint64_t seed)
{
    MemberCluster::Options options { .size = size, .seed = seed };
    options.membership.neighbours = topology.neighbours;
    MemberCluster cluster(options);
    std::vector<uint64_t> bytes(size, 0);
    cluster.onSend = [&](size_t from, size_t to, Membership::Heartbeat& heartbeat) {
        if (!topology.relaysBeats)
            heartbeat.beats.clear();
        auto const& sender = heartbeat.sender.member;
        auto const length = Wire::encode({ sender.name, sender.incarnation, heartbeat.sender.beat, heartbeat }).size()
            + overheadPerMessage;
        bytes[from] += length;
        bytes[to] += length;
    };
    cluster.run(10s);

    Measurement result;
    std::fill(bytes.begin(), bytes.end(), 0);
    constexpr int steadySeconds = 10;
    for (int second = 0; second < steadySeconds; ++second) {
        cluster.run(1s);
        result.falseSuspicions += size - cluster.agreeing();
    }
    for (auto const count : bytes) {
        result.bytesPerSecondMean += static_cast<double>(count) / steadySeconds / static_cast<double>(size);
        result.bytesPerSecondMax = std::max(result.bytesPerSecondMax, static_cast<double>(count) / steadySeconds);
    }

    auto const failed = chooseFailedNodes(cluster, failure);
    for (auto const index : failed)
        cluster.node(index).isDown = true;
    auto const running = size - failed.size();
    auto const reached = [&] {
        size_t count = 0;
        for (size_t index = 0; index < size; ++index)
            count += !failed.contains(index) && cluster.node(index).settingsRevision == 2 ? 1 : 0;
        return count;
    };
    cluster.adopt(0, 2);
    constexpr Duration step = 1ms;
    constexpr auto timeout = 20s;
    for (Duration elapsed = step; elapsed <= timeout; elapsed += step) {
        cluster.run(step);
        if (elapsed == Duration(1s))
            result.reachedInOneSecond = static_cast<double>(reached()) / static_cast<double>(running);
        if (result.reachMs == 0 && reached() == running)
            result.reachMs = static_cast<double>(elapsed.count()) / 1000;
        if (result.agreeMs == 0 && elapsed % Duration(50ms) == Duration(0) && cluster.agreeing() == running)
            result.agreeMs = static_cast<double>(elapsed.count()) / 1000;
        if (result.reachMs > 0 && result.agreeMs > 0 && elapsed >= Duration(1s))
            break;
    }
    return result;
}

}
