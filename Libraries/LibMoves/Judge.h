#pragma once

#include <LibCore/Time.h>
#include <LibMoves/Evidence.h>
#include <LibMoves/Move.h>
#include <LibMoves/Share.h>
#include <LibMoves/Verdict.h>

namespace Comfreysail::Moves {

/// Compares `to` with `from` on the evidence. A fault that one target or one availability zone explains is no fault of
/// the version.
Verdict judge(Move const&, Evidence const&, MoveScope const&, Core::WallTime now);

}
