#include <LibUsage/Usage.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Usage;
using namespace std::chrono_literals;

namespace {

constexpr Core::Instant start { 1h };

struct CountsFixture {
    TrueClock clock;
    OwnCounts own;
    UsageLedger ledger;

    /// True time at `start` is 1,000 s after the epoch: the begin of window 200.
    CountsFixture()
    {
        noteStoreTime(clock, 100s, start);
        clock.agreedOffset = 900s;
    }

    void push(std::string const& name, std::string const& incarnation, CountsByWindow counts, Core::Instant now = start)
    {
        mergePush(ledger, { name, incarnation, std::nullopt, std::move(counts) }, trueTimeAt(clock, now), now);
    }
};

}

TEST_CASE_METHOD(CountsFixture, "OwnCounts_SendThatWasNotExecuted_IsTakenBackInTheWindowOfTheSend")
{
    countSend(own, clock, "kaje80", start + 4s);
    auto const refused = countSend(own, clock, "kaje80", start + 4999ms);
    countSend(own, clock, "kaje80", start + 5s);
    takeBack(own, clock, refused);
    ReportedCounts first;
    addCounts(first, own.windows[200]);
    CHECK(first == ReportedCounts { { "kaje80", 1 } });
    ReportedCounts second;
    addCounts(second, own.windows[201]);
    CHECK(second == ReportedCounts { { "kaje80", 1 } });
}

// A daemon serves requests before it has heard of the agreed time. Its own wall clock may be wrong by 40 minutes, so
// the sends must wait for the agreement and must not be lost.
TEST_CASE_METHOD(CountsFixture, "OwnCounts_SendsBeforeTrueTimeIsKnown_AreAssignedToTheirWindowsLater")
{
    clock.agreedOffset.reset();
    countSend(own, clock, "vopu11", start + 1s);
    auto const refused = countSend(own, clock, "vopu11", start + 2s);
    auto const refusedLater = countSend(own, clock, "vopu11", start + 3s);
    takeBack(own, clock, refused);
    CHECK(own.windows.empty());
    clock.agreedOffset = 900s;
    maintainCounts(own, clock, start + 6s);
    takeBack(own, clock, refusedLater);
    CHECK(own.windows[200] == WindowCounts { { "vopu11", { 2, 1 } } });
    CHECK(own.pending.empty());
}

TEST_CASE_METHOD(CountsFixture, "OwnCounts_WindowsThatCannotBeReportedAnyMore_AreDropped")
{
    countSend(own, clock, "kaje80", start);
    maintainCounts(own, clock, start + 19s);
    CHECK(own.windows.size() == 1);
    maintainCounts(own, clock, start + 20s);
    CHECK(own.windows.empty());
}

// Pushes arrive twice, late and out of order when a link is slow.
TEST_CASE_METHOD(CountsFixture, "UsageLedger_PushesTwiceAndOutOfOrder_CountOnce")
{
    push("vm-1", "a", { { 200, { { "kaje80", { 5, 1 } } } } });
    push("vm-1", "a", { { 200, { { "kaje80", { 3, 0 } } } } });
    push("vm-1", "a", { { 200, { { "kaje80", { 5, 1 } } } } });
    push("vm-2", "b", { { 200, { { "kaje80", { 2, 0 } }, { "vopu11", { 1, 1 } } } } });
    CHECK(countsOf(ledger, 200) == ReportedCounts { { "kaje80", 6 } });
}

// A process that was killed and started again counts from zero; what its predecessor sent did happen.
TEST_CASE_METHOD(CountsFixture, "UsageLedger_RestartedDaemon_AddsToItsPredecessor")
{
    push("vm-1", "a", { { 200, { { "kaje80", { 5, 0 } } } } });
    push("vm-1", "b", { { 200, { { "kaje80", { 2, 0 } } } } });
    CHECK(countsOf(ledger, 200) == ReportedCounts { { "kaje80", 7 } });
}

TEST_CASE_METHOD(CountsFixture, "UsageLedger_WindowsFarFromThePresent_AreIgnored")
{
    push("vm-1", "a",
        { { 150, { { "x", { 1, 0 } } } }, { 700, { { "x", { 1, 0 } } } }, { 201, { { "x", { 1, 0 } } } } });
    CHECK(countsOf(ledger, 150).empty());
    CHECK(countsOf(ledger, 700).empty());
    CHECK(countsOf(ledger, 201) == ReportedCounts { { "x", 1 } });
    maintainLedger(ledger, trueTimeAt(clock, start + 40s), start + 40s);
    CHECK(ledger.sources.at("vm-1").counts.empty());
    maintainLedger(ledger, trueTimeAt(clock, start + 3min), start + 3min);
    CHECK(ledger.sources.empty());
}

// Others push to a daemon that was paused only when their back-off ends, which takes up to 30 s.
TEST_CASE_METHOD(CountsFixture, "UsageLedger_OtherCollectorHasHeardOfMoreDaemons_CountsAreNotThoseOfMost")
{
    for (auto const* const name : { "vm-1", "vm-2", "vm-3" })
        push(name, "a", {}, start + 1s);
    CHECK(hasCountsOfMost(ledger, 5, start + 2s));
    CHECK_FALSE(hasCountsOfMost(ledger, 9, start + 2s));
    noteOtherCollector(ledger, 5, start + 2s);
    CHECK_FALSE(hasCountsOfMost(ledger, 5, start + 2s));
    push("vm-4", "a", {}, start + 3s);
    CHECK(hasCountsOfMost(ledger, 5, start + 3s));
    // Of a hundred daemons one now and then loses a push.
    for (unsigned number = 5; number < 100; ++number)
        push("vm-" + std::to_string(number), "a", {}, start + 3s);
    noteOtherCollector(ledger, 102, start + 3s);
    CHECK(hasCountsOfMost(ledger, 103, start + 3s));
    noteOtherCollector(ledger, 103, start + 3s);
    CHECK_FALSE(hasCountsOfMost(ledger, 103, start + 3s));
    // What another collector said long ago does not matter.
    push("vm-1", "a", {}, start + 14s);
    CHECK(hasCountsOfMost(ledger, 3, start + 14s));
}

// Pushes that arrived during a pause wait in the sockets, although their senders have given them up.
TEST_CASE_METHOD(CountsFixture, "UsageLedger_PushesFromDuringAPause_DoNotCountAsHeard")
{
    notePause(ledger, 500ms, start + 2s);
    push("vm-1", "a", {}, start + 2400ms);
    noteOtherCollector(ledger, 2, start + 3s);
    CHECK_FALSE(hasCountsOfMost(ledger, 3, start + 3s));
    push("vm-1", "a", {}, start + 3s);
    CHECK(hasCountsOfMost(ledger, 3, start + 3s));
    // Until another collector has responded after a pause, it may have heard of more daemons, but not for longer than
    // two windows.
    notePause(ledger, 500ms, start + 4s);
    push("vm-1", "a", {}, start + 14s);
    CHECK_FALSE(hasCountsOfMost(ledger, 3, start + 14s));
    CHECK(hasCountsOfMost(ledger, 3, start + 14501ms));
}

TEST_CASE("UsagePush_EncodedAndDecoded_IsTheSame")
{
    UsagePush const push { "vm-1", "0a", -1234ms, { { 353445120, { { "kaje80", { 4, 1 } }, { "a\"b", { 1, 0 } } } } } };
    CHECK(valueOf(decodePush(encodePush(push))) == push);
    UsageReply const reply { "0b", 353445119, 1700000000123ms, true, 103 };
    CHECK(valueOf(decodeReply(encodeReply(reply))) == reply);
    UsageReply const empty { "0b", std::nullopt, std::nullopt, false, 0 };
    CHECK(valueOf(decodeReply(encodeReply(empty))) == empty);
}

TEST_CASE("UsagePush_InvalidText_IsRefused")
{
    auto const text = GENERATE(as<std::string>(), "", "[]", R"({"name":"a","incarnation":"b"})",
        R"({"name":"","incarnation":"b","counts":{}})", R"({"name":"a","incarnation":"b","counts":{"x":{}}})",
        R"({"name":"a","incarnation":"b","counts":{"1":{"d":[-1,0]}}})",
        R"({"name":"a","incarnation":"b","counts":{"1":{"d":3}}})");
    CHECK(isError(decodePush(text)));
}

TEST_CASE("DutyRow_EncodedAndDecoded_IsTheSame")
{
    DutyRow const row { "vm-1", "0a", 12, 77s, 353445119, { { 353445120, { { "kaje80", 412 } } }, { 353445121, {} } } };
    CHECK(valueOf(decodeDutyRow(encodeDutyRow(row))) == row);
}

TEST_CASE("DutyRow_InvalidText_IsRefused")
{
    std::string const valid
        = R"({"holder":"a","incarnation":"b","token":1,"renewed_us":5,"closed":7,"fixed":[{"window":8,"counts":{}}]})";
    REQUIRE(!isError(decodeDutyRow(valid)));
    auto const [part, with] = GENERATE(table<std::string, std::string>(
        { { R"("token":1,)", "" }, { R"("token":1)", R"("token":-1)" }, { R"("window":8)", R"("window":9)" },
            { R"("counts":{})", R"("counts":[])" }, { R"("counts":{})", R"("counts":{"a":-1})" },
            { R"("renewed_us":5)", R"("renewed_us":9223372036854775807)" }, { R"("holder":"a",)", "" },
            { R"([{"window":8,"counts":{}}])", "{}" } }));
    auto text = valid;
    REQUIRE(text.find(part) != std::string::npos);
    text.replace(text.find(part), part.size(), with);
    CHECK(isError(decodeDutyRow(text)));
}

// The wall clock of a VM may be off by 40 minutes for seconds.
TEST_CASE("TrueClock_SomeClocksAreWrongByFortyMinutes_MedianIsRight")
{
    std::vector<Core::Duration> const offsets { 900s, 900s + 40min, 900s + 5ms, 900s - 40min, 900s + 2ms };
    auto const agreed = agreeOnOffset(offsets, 100);
    REQUIRE(agreed);
    CHECK(*agreed == 900s + 2ms);
}

// A collector that has just started knows its own clock only, which may be the wrong one.
TEST_CASE("TrueClock_TooFewClocksAreKnown_NoAgreement")
{
    CHECK(!agreeOnOffset({ 900s, 900s, 900s, 900s }, 100));
    CHECK(!agreeOnOffset({ 900s }, 3));
    CHECK(agreeOnOffset({ 900s, 901s }, 3));
    CHECK(agreeOnOffset({ 900s }, 1));
    CHECK(!agreeOnOffset({}, 0));
}

// A slow call to the store makes its time look older than it is; true time must not step back by that.
TEST_CASE_METHOD(CountsFixture, "TrueClock_SlowStoreCall_DoesNotSetTheTimeBack")
{
    noteStoreTime(clock, 101s, start + 1900ms);
    CHECK(trueTimeAt(clock, start + 2s) == 1002s);
    noteStoreTime(clock, 103200ms, start + 3s);
    CHECK(trueTimeAt(clock, start + 3s) == 1003200ms);
    noteStoreTime(clock, 140s, start + 40s);
    CHECK(trueTimeAt(clock, start + 40s) == 1040s);
}

TEST_CASE("Window_TimesAtItsBounds_BelongToTheRightWindow")
{
    UsageOptions const options;
    CHECK(windowAt(options, 5s * 353445120LL) == 353445120);
    CHECK(windowAt(options, 5s * 353445120LL - 1us) == 353445119);
    CHECK(windowAt(options, -1us) == -1);
    CHECK(endOf(options, 353445120) == 5s * 353445121LL);
}
