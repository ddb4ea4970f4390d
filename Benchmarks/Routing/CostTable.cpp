#include "CostTable.h"
#include <LibRouting/LoadReport.h>
#include <LibRouting/MeasurementBudget.h>
#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>

namespace Comfreysail::RoutingReplay {

namespace {

/// Network cost of measuring load for one daemon, sent and received.
struct Cost {
    std::string_view method;
    double bytesPerSecond { 0 };
    double messagesPerSecond { 0 };
};

constexpr double messageBytes = Routing::reportMessageBytes;
constexpr double entryBytes = Routing::reportEntryBytes;
constexpr double intervalsPerSecond = 50; // One report every 20 ms.

// Length of a Comfreysail-Load header line in an answer.
constexpr double headerBytes = 48;

std::array<Cost, 7> costsAt(ClusterSize const& size)
{
    auto const requests = size.requestsPerSecond / size.daemons;
    auto const peers = size.daemons - 1;
    // A delta contains the targets whose count changed in the interval: at most one for each request, and never more
    // than there are targets.
    auto const changed = std::min(size.targets, requests / intervalsPerSecond);
    auto const deltaMessages = 2 * intervalsPerSecond * peers;
    Routing::MeasurementLimits const limits;
    return { {
        { "power of two, own counts", 0, 0 },
        { "one probe for each request", 2 * requests * messageBytes, 2 * requests },
        { "load carried on answers", requests * headerBytes, 0 },
        { "targets report every 20 ms", size.targets * intervalsPerSecond * (messageBytes + entryBytes),
            size.targets * intervalsPerSecond },
        { "deltas to all daemons, 20 ms", deltaMessages * (messageBytes + changed * entryBytes), deltaMessages },
        { "slots divided, renewed each s", 2 * peers * (messageBytes + size.targets / size.daemons * entryBytes),
            2 * peers },
        { "homes, spill exchange (limit)", limits.bytesPerSecond, limits.messagesPerSecond },
    } };
}

}

void printCostTable()
{
    // Current services have at most four zones. The size in two years is from docs/design.md, section 1.5, with an
    // assumed 100 daemons.
    constexpr std::array<ClusterSize, 2> sizes { {
        { "today", 14, 20, 3'400 },
        { "two years", 100, 2'000, 140'000 },
    } };
    std::printf("%-10s %-31s %14s %14s\n", "size", "way (calculated)", "bytes/s", "messages/s");
    for (auto const& size : sizes) {
        for (auto const& cost : costsAt(size))
            std::printf("%-10s %-31s %14.0f %14.0f\n", size.name, cost.method.data(), cost.bytesPerSecond,
                cost.messagesPerSecond);
    }
}

}
