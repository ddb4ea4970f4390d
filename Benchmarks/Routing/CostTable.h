#pragma once

#include <cstddef>

namespace Comfreysail::RoutingReplay {

/// The size of a cluster, for calculated costs.
struct ClusterSize {
    const char* name;
    double daemons;
    double targets;
    double requestsPerSecond;
};

/// Prints what each way of measuring load costs a daemon, calculated from message sizes and rates.
void printCostTable();

}
