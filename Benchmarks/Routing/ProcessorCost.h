#pragma once

namespace Comfreysail::RoutingReplay {

/// Measures and prints the processor time of decisions and of load report scheduling at both sizes of a cluster.
void printProcessorCost();

}
