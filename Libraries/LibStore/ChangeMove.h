#pragma once

#include <LibStore/MoveChange.h>
#include <LibStore/MoveList.h>
#include <LibStore/MoveResult.h>
#include <LibStore/StorePort.h>

namespace Comfreysail::Store {

/// All moves. One unreadable row does not hide the others.
void readMoves(StorePort const&, Core::Instant deadline, Callback<MoveList>);

/// Writes a new move row. `changeId` of the row must be set. Sending the same declaration again is AlreadyThere;
/// another row with the id is a Conflict. Errors as for applyChange().
void declareMove(StorePort const&, MoveRow, Core::Instant deadline, Callback<MoveResult>);

/// Changes the state of a move by a conditional write, so that it takes effect once however many daemons and operators
/// ask for it. Errors as for applyChange(), and RowNotFound.
void changeMove(StorePort const&, MoveChange, Core::Instant deadline, Callback<MoveResult>);

}
