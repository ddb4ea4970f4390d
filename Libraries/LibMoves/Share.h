#pragma once

#include <LibCore/Time.h>
#include <LibMoves/Evidence.h>
#include <LibMoves/Move.h>
#include <string>
#include <vector>

namespace Comfreysail::Moves {

/// Settings of the version that a move goes to.
struct MoveScope {
    unsigned targetCount { 0 };      ///< Number of targets of the version `to`.
    std::vector<std::string> routes; ///< Routes that each need enough successes; empty if unknown.
};

/// Returns the share of the traffic, from 0 to 1, that `to` gets. Depends only on the arguments, so daemons with the
/// same evidence agree.
double shareAt(Move const&, Evidence const&, MoveScope const&, Core::WallTime now);

/// Returns how many targets of `to` may be used at a share. A small share uses few targets, so that each has the load
/// that it would have at the full share. Uses at least three targets if there are as many, because the verdict ignores
/// the worst one and needs enough evidence from the others.
unsigned targetLimitAt(double share, unsigned targetCount);

}
