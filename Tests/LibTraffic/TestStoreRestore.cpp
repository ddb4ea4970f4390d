#include <LibTraffic/Traffic.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Traffic;
using namespace std::chrono_literals;

namespace {

/// A table whose first read in the new era was at second 100.
class RestoredTableFixture {
public:
    SharedRows::Table settled(SharedRows::Table const& stored, Core::Duration sinceFirstRead) const
    {
        return settledRows(m_table, stored, m_table.firstReadAt + sinceFirstRead);
    }

protected:
    SharedRows::Table m_copy { { "kept", "1" }, { "changed", "old" }, { "removed in the gap", "x" } };
    RestoredTable m_table { { { "kept", "1" }, { "changed", "new" }, { "added in the gap", "y" } }, m_copy,
        Core::Instant { 100s }, 2s };
};

}

// Guards against revisions of two eras that are compared as if there were one.
TEST_CASE("StorePosition_LaterEra_IsLaterWhateverTheRevision")
{
    CHECK(*numberOf({ 2, 1 }) > *numberOf({ 1, 1'000'000 }));
    CHECK(*numberOf({ 1, 7 }) > *numberOf({ 1, 6 }));
    CHECK(positionOf(*numberOf({ 3, 123'456 })) == StorePosition { 3, 123'456 });
    CHECK(*numberOf({ 0, 42 }) == 42);
    CHECK_FALSE(numberOf({ 0, uint64_t { 1 } << 44U }));
    CHECK_FALSE(numberOf({ uint64_t { 1 } << 20U, 0 }));
}

// Guards against an older copy that undoes what is in force before it has been written again.
TEST_CASE_METHOD(RestoredTableFixture, "RestoredTable_CopyUnchanged_RowsInForceStayForTheSettlingTime")
{
    CHECK(settled(m_copy, 0s) == m_table.inForce);
    CHECK(settled(m_copy, 1999ms) == m_table.inForce);
    CHECK(settled(m_copy, 2s) == m_copy);
}

// Guards against rows in force that outlast what their owners say in the new era.
TEST_CASE_METHOD(RestoredTableFixture, "RestoredTable_RowWrittenInTheNewEra_CountsAtOnce")
{
    auto stored = m_copy;
    stored["changed"] = "newest";
    stored["added"] = "z";
    stored.erase("kept");
    auto expected = m_table.inForce;
    expected["changed"] = "newest";
    expected["added"] = "z";
    expected.erase("kept");
    CHECK(settled(stored, 1s) == expected);
}

// Guards against a move that starts again because its order was written again, and against a new order that is taken
// for an old one.
TEST_CASE("VersionMove_WrittenAgainInALaterEra_IsTheSameOrder")
{
    VersionMove const move { "orders", "v2", 10s, *numberOf({ 1, 50 }) };
    auto const with = [&](auto change) {
        auto other = move;
        other.orderedAt = *numberOf({ 2, 40 });
        change(other);
        return other;
    };
    CHECK(isSameOrder(move, with([](auto&) {})));
    CHECK_FALSE(isSameOrder(move, with([](auto& other) { other.orderedAt = *numberOf({ 1, 60 }); })));
    CHECK_FALSE(isSameOrder(move, with([](auto& other) { other.toVersion = "v3"; })));
    CHECK_FALSE(isSameOrder(move, with([](auto& other) { other.duration = 11s; })));
    CHECK_FALSE(isSameOrder(with([](auto&) {}), move));
}

// Guards against rows of an earlier era that a daemon hands on to one that knows the later one.
TEST_CASE("SharedRows_ChangesOfAnEarlierEra_AreStale")
{
    SharedRows current;
    current.replaceTable("op", { { "config", "new" } }, *numberOf({ 2, 5 }));
    SharedRows late;
    late.replaceTable("op", { { "config", "lost" } }, *numberOf({ 1, 900 }));
    CHECK(current.apply(late.changesAfter(current.knownRevisions())) == ApplyResult::Stale);
    CHECK(late.apply(current.changesAfter(late.knownRevisions())) == ApplyResult::Applied);
    CHECK(late.table("op") == current.table("op"));
}
