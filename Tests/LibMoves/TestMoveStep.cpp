#include <LibMoves/Moves.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Moves;

// If a final state could change, a move that was taken back could restart.
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
