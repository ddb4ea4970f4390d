#include "ClaimFixture.h"
#include <catch2/catch.hpp>
#include <map>

using namespace Comfreysail;
using namespace Comfreysail::Claims;
using Core::ErrorKind;

namespace {

/// Table service with the faults that docs/design.md, section 3.2, describes.
struct FakeTable {
    enum class Mode : uint8_t { Up, Down, LoseAnswers };

    Mode mode { Mode::Up };
    std::map<std::string, StoredRow> rows;
    int64_t lastVersion { 0 };

    BatchResult call(ClaimBatch const& batch)
    {
        if (!batch.reads.empty())
            return read(batch);
        if (mode == Mode::Down)
            return BatchStoreDown {};
        auto result = write(batch);
        if (mode == Mode::LoseAnswers)
            return BatchAnswerLost {};
        return result;
    }

    RowState stateOf(std::string const& key) { return decodeRow(rows[key].value).value().state; }

private:
    BatchResult read(ClaimBatch const& batch)
    {
        BatchRead result;
        for (auto const& key : batch.reads) {
            if (mode == Mode::Down)
                result.rows.emplace_back();
            else
                result.rows.emplace_back(rows.contains(key) ? rows[key] : StoredRow {});
        }
        return result;
    }

    BatchResult write(ClaimBatch const& batch)
    {
        BatchConflicted conflicted;
        for (size_t index = 0; index < batch.writes.size(); ++index) {
            auto const found = rows.contains(batch.writes[index].key) ? rows[batch.writes[index].key] : StoredRow {};
            if (found.version != batch.writes[index].expectedVersion)
                conflicted.conflicts.push_back({ index, found });
        }
        if (!conflicted.conflicts.empty())
            return conflicted;
        BatchCommitted committed;
        for (auto const& item : batch.writes) {
            rows[item.key] = { ++lastVersion, item.value };
            committed.versions.push_back(lastVersion);
        }
        return committed;
    }
};

struct BatcherFixture {
    FakeTable table;
    Core::WallTime now { start };
    std::map<ClaimToken, ClaimAnswer> answers;

    static ClaimLimits limits()
    {
        return { .maxBatch = 4, .maxWaiting = 8, .maxBackground = 2, .maxWait = 2 * second, .retryDelay = second / 10 };
    }

    ClaimBatcher batcher { "vm-1", limits() };

    ClaimToken add(std::string const& key, uint64_t fingerprint = 7)
    {
        return std::get<ClaimToken>(batcher.add({ key, fingerprint, now + 10 * second, second }, now));
    }

    ErrorKind addRejected(std::string const& key, uint64_t fingerprint = 7)
    {
        return std::get<Core::Error>(batcher.add({ key, fingerprint, now + 10 * second, second }, now)).kind;
    }

    void storeAnswers(std::vector<ClaimDelivery> const& deliveries)
    {
        for (auto const& delivery : deliveries) {
            CHECK_FALSE(answers.contains(delivery.token));
            answers.emplace(delivery.token, delivery.answer);
        }
    }

    bool runBatch()
    {
        auto const batch = batcher.takeBatch(now);
        if (batch)
            storeAnswers(batcher.complete(batch->id, table.call(*batch), now));
        return batch.has_value();
    }

    void run(std::chrono::milliseconds duration)
    {
        for (auto const end = now + duration; now <= end; now += second / 20) {
            storeAnswers(batcher.expireWaits(now));
            while (runBatch()) { }
        }
    }

    bool isGranted(ClaimToken token) { return std::holds_alternative<ClaimGranted>(answers.at(token)); }
    ErrorKind errorOf(ClaimToken token) { return std::get<Core::Error>(answers.at(token)).kind; }

    void finish(ClaimToken token)
    {
        CHECK_FALSE(Core::isError(batcher.noteSendStarted(token, now)));
        batcher.note(token, AnswerReceived { 201 }, now);
    }
};

}

// One transaction for each claim would exceed the write rate of the table service.
TEST_CASE_METHOD(BatcherFixture, "ClaimBatcher_ClaimsDuringTransaction_ShareTheNextOne")
{
    add("a");
    auto const first = batcher.takeBatch(now);
    REQUIRE(first);
    CHECK(first->writes.size() == 1);
    for (auto const* key : { "b", "c", "d", "e", "f" })
        add(key);
    CHECK_FALSE(batcher.takeBatch(now));
    storeAnswers(batcher.complete(first->id, table.call(*first), now));
    auto const next = batcher.takeBatch(now);
    REQUIRE(next);
    CHECK(next->writes.size() == 4);
    storeAnswers(batcher.complete(next->id, table.call(*next), now));
    CHECK(runBatch());
    CHECK(answers.size() == 6);
    CHECK(batcher.counts().transactions == 3);
}

// A conflict on one row rejects the whole transaction. The other claims must still be granted.
TEST_CASE_METHOD(BatcherFixture, "ClaimBatcher_OneRowConflicts_OthersAreGranted")
{
    table.rows["b"] = { 1, encodeRow(exampleRow("vm-2/1", RowState::Finished, 201)) };
    auto const a = add("a");
    auto const b = add("b");
    auto const c = add("c");
    run(second);
    CHECK(isGranted(a));
    CHECK(std::get<StoredStatus>(answers.at(b)).status == 201);
    CHECK(isGranted(c));
}

// A second request with a key that is in progress on the same daemon must not be batched with the first one.
TEST_CASE_METHOD(BatcherFixture, "ClaimBatcher_KeyInProgressOnThisDaemon_IsAnsweredImmediately")
{
    auto const token = add("a");
    CHECK(addRejected("a") == ErrorKind::ClaimInProgress);
    CHECK(addRejected("a", 8) == ErrorKind::IdempotencyKeyReused);
    run({});
    table.mode = FakeTable::Mode::Down;
    finish(token);
    CHECK(std::get<StoredStatus>(batcher.add({ "a", 7, now + second, second }, now)).status == 201);
}

// If the answer to a commit is lost, the claim must be neither lost nor granted to two holders.
TEST_CASE_METHOD(BatcherFixture, "ClaimBatcher_CommitAnswerLost_IsResolvedByReading")
{
    table.rows["b"] = { 1, encodeRow(exampleRow("vm-2/1")) };
    table.mode = FakeTable::Mode::LoseAnswers;
    auto const a = add("a");
    run(second);
    CHECK(isGranted(a));
    auto const b = add("b");
    auto const c = add("c");
    run(second);
    CHECK(errorOf(b) == ErrorKind::ClaimInProgress);
    CHECK(isGranted(c));
    finish(a);
    run(second);
    CHECK(table.stateOf("a") == RowState::Finished);
    CHECK(batcher.size() == 1);
}

// If the store is down, the claim must fail as not run, and no state may remain.
TEST_CASE_METHOD(BatcherFixture, "ClaimBatcher_StoreDown_FailsAsNotRun")
{
    table.mode = FakeTable::Mode::Down;
    auto const token = add("a");
    run(second);
    CHECK(errorOf(token) == ErrorKind::ClaimStoreUnavailable);
    CHECK(batcher.size() == 0);
    CHECK(batcher.isIdle());
}

// A slow store must not delay requests beyond the limit, and a row committed after that must not block the key.
TEST_CASE_METHOD(BatcherFixture, "ClaimBatcher_SlowStore_WaitIsBoundedAndRowReleased")
{
    auto const inFlight = add("a");
    auto const batch = batcher.takeBatch(now);
    auto const queued = add("b");
    now += 2 * second;
    storeAnswers(batcher.expireWaits(now));
    CHECK(errorOf(inFlight) == ErrorKind::ClaimStoreUnavailable);
    CHECK(errorOf(queued) == ErrorKind::ClaimStoreUnavailable);
    CHECK(batcher.size() == 1);
    CHECK(Core::isError(batcher.noteSendStarted(inFlight, now)));
    storeAnswers(batcher.complete(batch->id, table.call(*batch), now));
    run(second);
    CHECK(table.stateOf("a") == RowState::Released);
    CHECK(isGranted([&] {
        auto const again = add("a");
        run({});
        return again;
    }()));
}

// An insert whose answer was lost can be committed after the caller got an error. The row must then be released.
TEST_CASE_METHOD(BatcherFixture, "ClaimBatcher_LateInsertAfterError_IsReleased")
{
    auto const token = add("a");
    auto const late = batcher.takeBatch(now);
    table.mode = FakeTable::Mode::Down;
    storeAnswers(batcher.complete(late->id, BatchAnswerLost {}, now));
    run(3 * second);
    CHECK(errorOf(token) == ErrorKind::ClaimStoreUnavailable);
    table.mode = FakeTable::Mode::Up;
    table.call(*late);
    run(second);
    CHECK(table.stateOf("a") == RowState::Released);
    CHECK(batcher.size() == 0);
}

// If the request did not run and is not sent again, its key must be available for the caller's next attempt.
TEST_CASE_METHOD(BatcherFixture, "ClaimBatcher_SendDidNotRunAndGaveUp_ReleasesTheKey")
{
    auto const token = add("a");
    run({});
    CHECK_FALSE(Core::isError(batcher.noteSendStarted(token, now)));
    batcher.note(token, GaveUp {}, now);
    CHECK(batcher.size() == 1);
    batcher.note(token, SendDidNotRun {}, now);
    batcher.note(token, GaveUp {}, now);
    CHECK(Core::isError(batcher.noteSendStarted(token, now)));
    run({});
    CHECK(table.stateOf("a") == RowState::Released);
    auto const again = add("a");
    run({});
    CHECK(isGranted(again));
    CHECK(decodeRow(table.rows["a"].value)->claimId == "vm-1/" + std::to_string(again));
}

// A holder that was paused until after the start-by time must not send the request.
TEST_CASE_METHOD(BatcherFixture, "ClaimBatcher_PausedHolder_DoesNotSendAfterStartBy")
{
    auto const token = add("a");
    run({});
    now += 10 * second + second / 100;
    auto const refused = batcher.noteSendStarted(token, now);
    REQUIRE(Core::isError(refused));
    CHECK(Core::errorOf(refused).kind == ErrorKind::StartDeadlinePassed);
    run({});
    CHECK(table.stateOf("a") == RowState::Released);
}

// If the outcome is unknown, the row must stay claimed, so that no other holder runs the request again.
TEST_CASE_METHOD(BatcherFixture, "ClaimBatcher_OutcomeUnknown_RowStaysClaimed")
{
    auto const token = add("a");
    run({});
    CHECK_FALSE(Core::isError(batcher.noteSendStarted(token, now)));
    batcher.note(token, SendOutcomeUnknown {}, now);
    run(20 * second);
    CHECK(table.stateOf("a") == RowState::Claimed);
    ClaimBatcher other("vm-2", limits());
    (void)other.add({ "a", 7, now + second, second }, now);
    auto const batch = other.takeBatch(now);
    auto const deliveries = other.complete(batch->id, table.call(*batch), now);
    REQUIRE(deliveries.size() == 1);
    CHECK(std::get<Core::Error>(deliveries[0].answer).kind == ErrorKind::ClaimOutcomeUnknown);
}

// During a long outage of the store, the list of rows to finish must not grow without limit.
TEST_CASE_METHOD(BatcherFixture, "ClaimBatcher_LongOutage_BackgroundListIsBounded")
{
    std::vector<ClaimToken> tokens { add("a"), add("b"), add("c"), add("d") };
    run({});
    table.mode = FakeTable::Mode::Down;
    for (auto const token : tokens)
        finish(token);
    run(second);
    CHECK(batcher.size() == 2);
    CHECK(batcher.counts().dropped == 2);
    table.mode = FakeTable::Mode::Up;
    run(second);
    CHECK(batcher.isIdle());
    CHECK(table.stateOf("a") == RowState::Finished);
    CHECK(table.stateOf("d") == RowState::Claimed);
}

// Without a limit, an outage of the store would accumulate waiting requests in memory.
TEST_CASE_METHOD(BatcherFixture, "ClaimBatcher_TooManyWaiting_AreRejected")
{
    for (auto index = 0; index < 8; ++index)
        add("k" + std::to_string(index));
    CHECK(addRejected("more") == ErrorKind::ClaimStoreUnavailable);
}

// A row that cannot be decoded may belong to a request that ran.
TEST_CASE_METHOD(BatcherFixture, "ClaimBatcher_UnreadableRow_CountsAsUnknownOutcome")
{
    table.rows["a"] = { 1, "?" };
    auto const token = add("a");
    run({});
    CHECK(errorOf(token) == ErrorKind::ClaimOutcomeUnknown);
}

// A caller that disconnects while its claim waits or is granted must not leave its key blocked.
TEST_CASE_METHOD(BatcherFixture, "ClaimBatcher_CancelledClaim_IsReleased")
{
    auto const waiting = add("a");
    auto const batch = batcher.takeBatch(now);
    batcher.cancel(waiting, now);
    storeAnswers(batcher.complete(batch->id, table.call(*batch), now));
    auto const granted = add("b");
    run({});
    batcher.cancel(granted, now);
    run({});
    CHECK(table.stateOf("a") == RowState::Released);
    CHECK(table.stateOf("b") == RowState::Released);
    CHECK(batcher.size() == 0);
}
