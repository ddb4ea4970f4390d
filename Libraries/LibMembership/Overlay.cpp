#include <LibMembership/Overlay.h>

namespace Comfreysail::Membership {

std::vector<size_t> overlayPeers(size_t self, size_t count)
{
    std::vector<size_t> peers;
    for (size_t jump = 1; jump < count; jump *= 2)
        peers.push_back((self + jump) % count);
    return peers;
}

}
