#include <LibSettings/Settings.h>
#include <Support/SettingsText.h>
#include <Support/Waiting.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Store;
using Fault = MemoryStore::Fault;
using Outcome = MoveResult::Outcome;
using State = MoveState;

namespace {

MoveRow sampleMove()
{
    return { .id = "m1",
        .kind = MoveKind::Version,
        .service = "orders",
        .from = "v1",
        .to = "v2",
        .start = Core::fromUnixMilliseconds(1000),
        .finishBy = Core::fromUnixMilliseconds(9000),
        .reason = "new \"v2\"",
        .changeId = "d1" };
}

Core::Result<MoveResult> declare(StorePort const& port, MoveRow const& move)
{
    return Tests::await<MoveResult>(
        [&](auto callback) { declareMove(port, move, Tests::inSeconds(5), std::move(callback)); });
}

Core::Result<MoveResult> change(StorePort const& port, State state, std::string const& changeId)
{
    return Tests::await<MoveResult>([&](auto callback) {
        changeMove(port, { "m1", state, "reason of " + changeId, changeId }, Tests::inSeconds(5), std::move(callback));
    });
}

MoveRow moveIn(MemoryStore const& store)
{
    auto const move = MoveRow::fromRow(store.row("moves", "m1").value());
    REQUIRE_FALSE(Core::isError(move));
    return Core::valueOf(move);
}

struct TransitionCase {
    State from;
    State to;
    bool isAllowed;
};

}

// A move that was rolled back must not restart by itself or by a late command.
TEST_CASE("MoveTransition_EachPair_FollowsTheStates")
{
    auto const example = GENERATE(
        values<TransitionCase>({ { State::Declared, State::Paused, true }, { State::Declared, State::Done, true },
            { State::Declared, State::TakenBack, true }, { State::Paused, State::Declared, true },
            { State::Paused, State::TakenBack, true }, { State::Paused, State::Done, false },
            { State::Done, State::Declared, false }, { State::Done, State::TakenBack, false },
            { State::TakenBack, State::Declared, false }, { State::TakenBack, State::Paused, false } }));
    CAPTURE(moveStateName(example.from), moveStateName(example.to));
    MemoryStore store;
    auto row = sampleMove();
    row.state = example.from;
    store.transact({ { Operation::Kind::Put, "moves", "m1", 0, row.toJson() } });
    auto const result = change(store.port(), example.to, "x");
    CHECK(Core::valueOf(result).outcome == (example.isAllowed ? Outcome::Changed : Outcome::Conflict));
    CHECK(moveIn(store).state == (example.isAllowed ? example.to : example.from));
}

TEST_CASE("DeclareMove_SentAgain_IsAlreadyThere")
{
    MemoryStore store;
    auto const first = declare(store.port(), sampleMove());
    CHECK(Core::valueOf(first).outcome == Outcome::Changed);
    CHECK(moveIn(store) == Core::valueOf(first).row);
    CHECK(Core::valueOf(declare(store.port(), sampleMove())).outcome == Outcome::AlreadyThere);
    change(store.port(), State::Paused, "p1");
    CHECK(Core::valueOf(declare(store.port(), sampleMove())).outcome == Outcome::AlreadyThere);
    auto other = sampleMove();
    other.to = "v3";
    other.changeId = "d2";
    auto const refused = declare(store.port(), other);
    CHECK(Core::valueOf(refused).outcome == Outcome::Conflict);
    CHECK(Core::valueOf(refused).row.to == "v2");
}

// Many daemons reach the same verdict; the row must change once.
TEST_CASE("ChangeMove_SameStateFromSeveral_IsWrittenOnce")
{
    MemoryStore store;
    declare(store.port(), sampleMove());
    CHECK(Core::valueOf(change(store.port(), State::TakenBack, "vm-1")).outcome == Outcome::Changed);
    auto const row = moveIn(store);
    CHECK(Core::valueOf(change(store.port(), State::TakenBack, "vm-2")).outcome == Outcome::AlreadyThere);
    CHECK(moveIn(store) == row);
    CHECK(row.reason == "reason of vm-1");
}

// A write by another change between the read and the write of this one must not be overwritten.
TEST_CASE("ChangeMove_OtherChangeBetween_IsSeenBeforeTheNextTry")
{
    MemoryStore store;
    declare(store.port(), sampleMove());
    auto const between = GENERATE(State::Paused, State::Done);
    auto port = store.port();
    bool isFirst = true;
    port.transact = [&](auto operations, auto deadline, auto callback) {
        if (std::exchange(isFirst, false))
            change(store.port(), between, "other");
        store.port().transact(operations, deadline, callback);
    };
    auto const result = change(port, State::TakenBack, "own");
    CHECK(Core::valueOf(result).outcome == (between == State::Done ? Outcome::Conflict : Outcome::Changed));
    CHECK(moveIn(store).state == (between == State::Done ? State::Done : State::TakenBack));
}

// The response to the second attempt may be lost too, so the row itself is read.
TEST_CASE("ChangeMove_LostResponse_IsResolvedByTheRow")
{
    auto const fault = GENERATE(Fault::LoseResponse, Fault::DelayWrite);
    MemoryStore store;
    store.failNext({ fault, Fault::Unavailable, fault });
    CHECK(Core::valueOf(declare(store.port(), sampleMove())).outcome == Outcome::Changed);
    store.performDelayedWrites();
    store.failNext({ Fault::None, fault, Fault::Unavailable });
    CHECK(Core::valueOf(change(store.port(), State::Paused, "p1")).outcome == Outcome::Changed);
    store.performDelayedWrites();
    CHECK(moveIn(store).changeId == "p1");
}

// The pause took effect, its response was lost and another operator resumed the move: pausing again would undo that.
TEST_CASE("ChangeMove_LostResponseThenOtherChange_IsNotRepeated")
{
    MemoryStore store;
    declare(store.port(), sampleMove());
    auto port = store.port();
    port.transact = [&](auto operations, auto, auto callback) {
        store.transact(operations);
        change(store.port(), State::Declared, "resume");
        callback(Core::Error { Core::ErrorKind::StoreOutcomeUnknown, "lost" });
    };
    CHECK(Core::valueOf(change(port, State::Paused, "pause")).outcome == Outcome::Conflict);
    CHECK(moveIn(store).changeId == "resume");
}

TEST_CASE("ChangeMove_StoreFails_ReportsWhetherAnythingMayHaveChanged")
{
    MemoryStore store;
    CHECK(Core::errorOf(change(store.port(), State::Paused, "p")).kind == Core::ErrorKind::RowNotFound);
    declare(store.port(), sampleMove());
    store.setFault(Fault::Unavailable);
    CHECK(Core::errorOf(change(store.port(), State::Paused, "p")).kind == Core::ErrorKind::StoreUnavailable);
    store.failNext({ Fault::None, Fault::DelayWrite });
    CHECK(Core::errorOf(change(store.port(), State::Paused, "p")).kind == Core::ErrorKind::StoreOutcomeUnknown);
    CHECK(Core::errorOf(declare(store.port(), sampleMove())).kind == Core::ErrorKind::StoreUnavailable);
}

// One corrupted row must not block all other moves.
TEST_CASE("ReadMoves_OneUnreadableRow_LeavesTheOthers")
{
    MemoryStore store;
    declare(store.port(), sampleMove());
    store.transact({ { Operation::Kind::Put, "moves", "m0", 0, R"({"kind":"versions"})" } });
    auto const read = Tests::await<MoveList>(
        [&](auto callback) { readMoves(store.port(), Tests::inSeconds(5), std::move(callback)); });
    REQUIRE(Core::valueOf(read).moves.size() == 1);
    CHECK(Core::valueOf(read).moves[0] == moveIn(store));
    REQUIRE(Core::valueOf(read).unreadable.size() == 1);
    CHECK_THAT(Core::valueOf(read).unreadable[0].detail, Catch::Matchers::StartsWith("row moves/m0"));
}

TEST_CASE("DeclareMove_InvalidRow_IsRefusedWithEveryFault")
{
    MemoryStore store;
    MoveRow move { .id = "M", .from = "v1", .to = "v1" };
    CHECK(move.faults().size() == 4);
    CHECK(Core::errorOf(declare(store.port(), move)).kind == Core::ErrorKind::InvalidSettings);
    CHECK(store.callCount() == 0);
    move = { .id = "m", .kind = MoveKind::Department, .from = "court", .finishBy = Core::fromUnixMilliseconds(1) };
    CHECK(move.faults().empty());

    auto const parsed = Settings::parseSettings(Tests::settingsText(), "f");
    auto const& tree = *std::get<Settings::SettingsTreePointer>(parsed);
    CHECK(sampleMove().faultsAgainst(tree).empty());
    auto unknown = sampleMove();
    unknown.to = "v9";
    CHECK(unknown.faultsAgainst(tree) == std::vector<std::string> { "version \"v9\" does not exist" });
    unknown = { .kind = MoveKind::AvailabilityZone, .service = "payments", .from = "pos-hall", .to = "v9" };
    CHECK(unknown.faultsAgainst(tree).size() == 2);
}
