#include <Replay/Trace.h>
#include <iostream>

using namespace Comfreysail;

// Writes the trace that Benchmarks/Routing replays. These constants generate the committed trace.
int main(int argc, char** argv)
{
    constexpr uint64_t seed = 20261204;
    constexpr size_t requests = 40'000;
    constexpr Core::Duration slowPhaseTime = std::chrono::seconds(180);

    if (argc != 2) {
        std::cerr << "usage: generate-routing-trace FOLDER\n";
        return 2;
    }
    auto const result = RoutingReplay::writeTrace(RoutingReplay::generateTrace(seed, requests, slowPhaseTime), argv[1]);
    if (Core::isError(result)) {
        std::cerr << "generate-routing-trace: " << Core::errorOf(result).detail << '\n';
        return 1;
    }
    return 0;
}
