#pragma once

#include <cstddef>

namespace Comfreysail::RoutingReplay {

/// The size of a cluster that costs are calculated for.
struct ClusterSize {
    const char* name;
    double daemons;
    double targets;
    double requestsPerSecond;
};

/// Prints the network cost of each method of measuring load for one daemon, calculated from message sizes and rates.
void printCostTable();

}
