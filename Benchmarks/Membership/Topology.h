#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Comfreysail::Benchmarks {

/// A way to choose whom to send heartbeats to.
struct Topology {
    std::string name;
    std::function<std::vector<size_t>(size_t self, size_t count)> neighbours;
    bool relaysBeats { true }; ///< Whether heartbeats must carry what the sender heard of others.
};

Topology overlay();
/// Everybody sends to everybody, so nobody relays.
Topology fullMesh();
/// As many receivers as in the overlay, drawn anew for each heartbeat.
Topology randomGossip(uint64_t seed);

}
