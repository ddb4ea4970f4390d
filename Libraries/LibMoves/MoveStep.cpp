#include <LibMoves/MoveStep.h>

namespace Comfreysail::Moves {

std::optional<Move> nextRow(Move const& move, Evidence const& evidence, Core::WallTime now)
{
    if (move.isFinal())
        return {};
    auto row = move;
    if (auto const reason = evidence.badReason(move.id)) {
        row.state = MoveState::TakenBack;
        row.reason = *reason;
        return row;
    }
    if (move.state == MoveState::Declared && now >= move.finishBy) {
        row.state = MoveState::Done;
        return row;
    }
    return {};
}

bool mayReplace(Move const& known, Move const& offered)
{
    if (known.isFinal())
        return false;
    return offered.rowVersion > known.rowVersion || offered.isFinal();
}

}
