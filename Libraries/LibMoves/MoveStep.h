#pragma once

#include <LibMoves/Evidence.h>
#include <LibMoves/Move.h>
#include <optional>

namespace Comfreysail::Moves {

/// The row that a daemon should write now, expecting `rowVersion`: done when the move is complete, taken back when its
/// verdict is bad. Nothing when the state is final or nothing is due. Any daemon may write; the first one wins.
std::optional<Move> nextRow(Move const&, Evidence const&, Core::WallTime now);

/// Whether a row may replace what a daemon already knows: a final state never changes, and rows never go back.
bool mayReplace(Move const& known, Move const& offered);

}
