#pragma once

#include <LibCore/Time.h>
#include <LibMoves/Evidence.h>
#include <LibMoves/Move.h>
#include <string>
#include <vector>

namespace Comfreysail::Moves {

/// What the settings say about the version that a move goes to.
struct MoveScope {
    unsigned targetCount { 0 };      ///< Of the version `to`.
    std::vector<std::string> routes; ///< Each must be proven; empty when unknown.
};

/// Share of the traffic, 0 to 1, that `to` gets. A pure function, so daemons with the same evidence agree.
double shareAt(Move const&, Evidence const&, MoveScope const&, Core::WallTime now);

/// How many targets of `to` may be used at a share: few while the share is small, so that each of them sees the load
/// that it would have at the full share. At least three: the worst is left out of the
/// verdict, and the others must still show enough.
unsigned targetLimitAt(double share, unsigned targetCount);

}
