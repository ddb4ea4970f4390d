#pragma once

#include <LibMoves/Evidence.h>
#include <LibMoves/Move.h>
#include <optional>

namespace Comfreysail::Moves {

/// Returns the row to write now, on the condition that the stored row has the version `rowVersion`. Its state is Done
/// if the move is complete, or TakenBack if the verdict is bad. Returns std::nullopt if the state is final or need not
/// change. Every daemon may write the row; the first write wins.
std::optional<Move> nextRow(Move const&, Evidence const&, Core::WallTime now);

/// True if the row `offered` may replace the row `known`. A final state never changes, and an older row replaces a
/// newer one only if it is final.
bool mayReplace(Move const& known, Move const& offered);

}
