#pragma once

namespace Comfreysail::RoutingReplay {

/// Measures and prints the processor time of routing decisions and of load report scheduling at several cluster sizes.
void printProcessorCost();

}
