#pragma once

#include <cstddef>
#include <vector>

namespace Comfreysail::Membership {

/// Returns the ring positions that a member sends to: `self` +1, +2, +4, ... modulo `count`, in name order. Every
/// member has the same number of outgoing and incoming links. Source: the jump nodes of "DChord: An Efficient and
/// Robust Peer to Peer Lookup System".
std::vector<size_t> overlayPeers(size_t self, size_t count);

}
