#pragma once

#include <LibStore/MoveChange.h>
#include <LibStore/MoveList.h>
#include <LibStore/MoveResult.h>
#include <LibStore/StorePort.h>

namespace Comfreysail::Store {

/// Reads all moves. An unreadable row is listed as an error and does not prevent reading the others.
void readMoves(StorePort const&, Core::Instant deadline, Callback<MoveList>);

/// Inserts a move row, whose `changeId` must be set. The outcome is AlreadyThere if the same move was declared before,
/// and Conflict if another move has the id. Errors as for applyChange().
void declareMove(StorePort const&, MoveRow, Core::Instant deadline, Callback<MoveResult>);

/// Changes the state of a move with a conditional write, so that it takes effect once even if several daemons and
/// operators request it. Errors as for applyChange(), RowNotFound, and RevisionConflict if other changes of the row
/// took effect first in every attempt.
void changeMove(StorePort const&, MoveChange, Core::Instant deadline, Callback<MoveResult>);

}
