#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Comfreysail::Benchmarks {

/// Determines which members each member sends heartbeats to.
struct Topology {
    std::string name;
    std::function<std::vector<size_t>(size_t self, size_t count)> neighbours;
    bool relaysBeats { true }; ///< Whether heartbeats carry the beats that the sender has received from others.
};

/// The overlay of LibMembership.
Topology overlay();
/// Every member sends to all others, so nothing is relayed.
Topology fullMesh();
/// Sends each heartbeat to random members, as many as in the overlay.
Topology randomGossip(uint64_t seed);

}
