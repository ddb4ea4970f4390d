#include "ClaimFixture.h"
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Claims;
using Core::ErrorKind;

struct DuplicateRequestCase {
    std::string name;
    RowState state;
    uint64_t fingerprint;
    std::chrono::milliseconds age;
    std::optional<unsigned> status;
    std::optional<ErrorKind> error;
};

// A wrong answer would either run a request twice or hide that it ran.
TEST_CASE("DuplicateRequest_FoundRow_DecidesAnswer")
{
    auto const testCase = GENERATE(values<DuplicateRequestCase>({
        { "finished", RowState::Finished, 7, 10 * second, 201, {} },
        { "claimed, may still run", RowState::Claimed, 7, 2 * second, {}, ErrorKind::ClaimInProgress },
        { "claimed, holder dead", RowState::Claimed, 7, 3 * second, {}, ErrorKind::ClaimOutcomeUnknown },
        { "claimed, long ago", RowState::Claimed, 7, 3599 * second, {}, ErrorKind::ClaimOutcomeUnknown },
        { "released", RowState::Released, 7, 0 * second, {}, {} },
        { "expired", RowState::Claimed, 7, 3600 * second, {}, {} },
        { "expired, other request", RowState::Finished, 8, 3600 * second, {}, {} },
        { "finished, other request", RowState::Finished, 8, 0 * second, {}, ErrorKind::IdempotencyKeyReused },
        { "claimed, other request", RowState::Claimed, 8, 0 * second, {}, ErrorKind::IdempotencyKeyReused },
    }));
    CAPTURE(testCase.name);
    auto const answer
        = answerDuplicateRequest(exampleRow("a", testCase.state, 201), testCase.fingerprint, start + testCase.age);
    if (testCase.status)
        CHECK(std::get<StoredStatus>(answer).status == *testCase.status);
    else if (testCase.error)
        CHECK(std::get<Core::Error>(answer).kind == *testCase.error);
    else
        CHECK(std::holds_alternative<MayClaimAgain>(answer));
}

// During an upgrade, daemons of two versions read each other's rows, so the format must not change.
TEST_CASE("ClaimRow_EncodedRow_DecodesToTheSameRow")
{
    auto const row = exampleRow("vm-1/5", RowState::Finished, 201);
    CHECK(decodeRow(encodeRow(row)) == row);
    CHECK(encodeRow(row)
        == R"({"claim_id":"vm-1/5","fingerprint":"0000000000000007","start_by":3600001000,"timeout_ms":1000,)"
           R"("expires_at":3603600000,"state":"finished","status":201})");
}

// A row that cannot be decoded must not be treated as absent, since its request may have run.
TEST_CASE("ClaimRow_MalformedText_IsNotDecoded")
{
    auto const text = GENERATE("", "{", "[]", "{}", R"({"claim_id":1})",
        R"({"claim_id":"a","fingerprint":"x","start_by":1,"timeout_ms":1,"expires_at":1,"state":"claimed","status":0})",
        R"({"claim_id":"a","fingerprint":"1","start_by":1,"timeout_ms":1,"expires_at":1,"state":"lost","status":0})");
    CHECK_FALSE(decodeRow(text));
}

// Idempotency keys of different services or departments must not share a row.
TEST_CASE("ClaimRowKey_DifferentParts_GiveDifferentKeys")
{
    CHECK(claimRowKey("orders", "a", "b") != claimRowKey("orders", "ab", ""));
    CHECK(claimRowKey("orders", "a", "b") != claimRowKey("ordersa", "", "b"));
    CHECK(claimRowKey("orders", "a", "b") == claimRowKey("orders", "a", "b"));
}

// If a row is deleted too early, a duplicate request could run again. If old rows are not deleted, the table fills up.
TEST_CASE("ExpiredRows_Scan_SelectsOnlyExpiredDecodableRows")
{
    std::vector<ScannedRow> const rows {
        { "old", { 3, encodeRow(exampleRow("a")) } },
        { "broken", { 4, "?" } },
        { "old-too", { 5, encodeRow(exampleRow("b", RowState::Finished, 200)) } },
    };
    CHECK(expiredRows(rows, 10, start + 3600 * second).empty());
    CHECK(expiredRows(rows, 10, start + 3660 * second) == std::vector<ClaimDelete> { { "old", 3 }, { "old-too", 5 } });
    CHECK(expiredRows(rows, 1, start + 3660 * second).size() == 1);
    CHECK(sweepPrefix(0xabc) == "abc");
    CHECK(sweepPrefix(sweepPrefixCount + 1) == "001");
}
