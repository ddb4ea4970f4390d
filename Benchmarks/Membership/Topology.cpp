#include "Topology.h"
#include <LibMembership/Overlay.h>
#include <algorithm>
#include <memory>
#include <numeric>
#include <random>

namespace Comfreysail::Benchmarks {

Topology overlay() { return { "overlay", Membership::overlayPeers, true }; }

Topology fullMesh()
{
    return { "full_mesh",
        [](size_t self, size_t count) {
            std::vector<size_t> all;
            for (size_t peer = 1; peer < count; ++peer)
                all.push_back((self + peer) % count);
            return all;
        },
        false };
}

Topology randomGossip(uint64_t seed)
{
    return { "random_gossip",
        [random = std::make_shared<std::mt19937_64>(seed)](size_t self, size_t count) {
            std::vector<size_t> all(count);
            std::iota(all.begin(), all.end(), size_t { 0 });
            std::erase(all, self);
            std::shuffle(all.begin(), all.end(), *random);
            all.resize(Membership::overlayPeers(self, count).size());
            return all;
        },
        true };
}

}
