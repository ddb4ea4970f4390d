#include <LibTraffic/Traffic.h>
#include <catch2/catch.hpp>
#include <random>

using namespace Comfreysail::Traffic;

namespace {

constexpr EvidenceLedger::Move move = 7;

EvidenceLedger ledgerWithMove()
{
    EvidenceLedger ledger;
    ledger.setMoves({ move });
    return ledger;
}

}

// Guards against counting the same requests many times: daemons that change their sources passed on sums of sums in
// circles, 68,000 requests were counted where 5,000 had been made, and a bad version was completed.
TEST_CASE("EvidenceLedger_CountsThatGoInCircles_AreCountedOnce")
{
    constexpr unsigned daemons = 40;
    std::mt19937 generator(5);
    std::vector<EvidenceLedger> ledgers(daemons, ledgerWithMove());
    for (unsigned index = 0; index < daemons; ++index)
        ledgers[index].note(move, index, { { index, 1, 2 }, { 100, 0, 3 } });
    std::uniform_int_distribution<unsigned> any(0, daemons - 1);
    for (unsigned exchange = 0; exchange < daemons * 20; ++exchange)
        ledgers[any(generator)].merge(ledgers[any(generator)].textSince(0));
    for (auto const& ledger : ledgers)
        CHECK(ledger.total(move)
            == MoveEvidence {
                { daemons * (daemons - 1) / 2, daemons, 2 * daemons }, { 100 * daemons, 0, 3 * daemons } });
}

TEST_CASE("EvidenceLedger_CountsGrow_NewestAreKeptInAnyOrder")
{
    auto ledger = ledgerWithMove();
    ledger.note(move, 1, { { 5, 1, 0 }, { 9, 0, 0 } });
    auto const before = ledger.textSince(0);
    auto const version = ledger.version();
    CHECK(ledger.textSince(version).empty());
    ledger.note(move, 1, { { 6, 2, 0 }, { 9, 0, 0 } });
    ledger.note(move, 2, { { 1, 0, 0 }, { 0, 0, 0 } });
    ledger.merge(before);
    CHECK(ledger.total(move) == MoveEvidence { { 7, 2, 0 }, { 9, 0, 0 } });
    auto follower = ledgerWithMove();
    follower.merge(before);
    follower.merge(ledger.textSince(version));
    CHECK(follower.total(move) == ledger.total(move));
}

TEST_CASE("EvidenceLedger_OtherMoveOrInvalidText_IsIgnored")
{
    auto ledger = ledgerWithMove();
    auto const text
        = GENERATE(values<std::string>({ "", "_", "~", "8~1.1.1.1.1.1.1", "7~1.1.1.1.1.1", "7~1.1.1.1.1.1.1.1",
            "7~x1.1.1.1.1.1.1.z", "7~1.-1.1.1.1.1.1", "7~1.99999999999.1.1.1.1.1", "7", "7~~~", "..~.._..~" }));
    ledger.merge(text);
    CHECK(ledger.total(move) == MoveEvidence {});
    ledger.merge("7~a.1.2.3.4.5.6~");
    CHECK(ledger.total(move) == MoveEvidence { { 1, 2, 3 }, { 4, 5, 6 } });
    ledger.setMoves({});
    CHECK(ledger.textSince(0).empty());
}
