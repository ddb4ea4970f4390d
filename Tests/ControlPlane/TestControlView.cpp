#include "ControlView.h"
#include "MoveTable.h"
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Daemon;

// A row that goes back to an earlier state would restart a move that was taken back.
TEST_CASE("MoveTable_RowAfterTakenBack_IsIgnored")
{
    auto const now = Core::fromUnixMilliseconds(5000);
    Store::MoveRow row { .id = "m1",
        .service = "orders",
        .from = "v1",
        .to = "v2",
        .start = now,
        .finishBy = now + std::chrono::minutes(5),
        .state = Store::MoveState::TakenBack,
        .rowVersion = 4 };
    MoveTable table;
    table.merge(row, now);
    row.state = Store::MoveState::Declared;
    row.rowVersion = 5;
    table.replaceAll({ row }, now);
    CHECK(table.moves().at(0).state == Moves::MoveState::TakenBack);
}

// A department that is leaving must keep its full service until its move has finished.
TEST_CASE("DestinationOf_DepartmentThatLeaves_KeepsItsNameAndIsOutWhenDone")
{
    Moves::Move move;
    move.kind = Moves::MoveKind::Department;
    move.from = "appeals";
    ControlView view;
    view.moves = { { move, 1.0, 0 } };
    CHECK(destinationOf(view, Moves::MoveKind::Department, "orders", "appeals", 0.5) == "appeals");
    CHECK(departmentsOutOf(view.moves) == NameSet { "appeals" });
    view.moves[0].share = 0;
    CHECK(departmentsOutOf(view.moves).empty());
}
