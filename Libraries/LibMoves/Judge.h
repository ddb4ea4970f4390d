#pragma once

#include <LibCore/Time.h>
#include <LibMoves/Evidence.h>
#include <LibMoves/Move.h>
#include <LibMoves/Share.h>
#include <LibMoves/Verdict.h>

namespace Comfreysail::Moves {

/// Compares the failures and latencies of the versions `to` and `from`. A fault that a single target or availability
/// zone explains does not count against the version.
Verdict judge(Move const&, Evidence const&, MoveScope const&, Core::WallTime now);

}
