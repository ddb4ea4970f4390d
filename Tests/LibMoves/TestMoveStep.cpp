#include <LibMoves/Moves.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Moves;

// A final state that could change again would restart a move that was taken back.
TEST_CASE("MayReplace_FinalState_NeverChanges")
{
    auto const state = GENERATE(MoveState::Done, MoveState::TakenBack);
    auto const offered = GENERATE(MoveState::Declared, MoveState::Paused, MoveState::Done, MoveState::TakenBack);
    Move known;
    known.state = state;
    known.rowVersion = 3;
    auto newer = known;
    newer.state = offered;
    newer.rowVersion = 9;
    CHECK_FALSE(mayReplace(known, newer));
}
