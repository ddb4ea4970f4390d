#include <LoadGenerator/LatencyHistogram.h>
#include <LoadGenerator/OrderBook.h>
#include <TestContent/TestContent.h>
#include <catch2/catch.hpp>
#include <vector>

using namespace Comfreysail;
using namespace Comfreysail::Benchmarks;

struct OrderCase {
    std::vector<OrderReply> replies;
    uint64_t executions;
    OrderFaults expected;
};

// If the order book misses a lost, doubled or falsely refused order, every benchmark run looks correct.
TEST_CASE("OrderBook_RepliesAndExecutions_ShowFaults")
{
    using Reply = OrderReply;
    auto const example = GENERATE(values<OrderCase>({
        { { Reply::Done }, 1, {} },
        { { Reply::Done }, 0, { .lost = 1 } },
        { { Reply::Done }, 2, { .doubled = 1 } },
        { { Reply::NotRun, Reply::Done }, 1, {} },
        { { Reply::NotRun, Reply::NotRun }, 0, {} },
        { { Reply::NotRun, Reply::NotRun }, 1, { .falseNotRun = 1 } },
        { { Reply::NotRun }, 2, { .doubled = 1, .falseNotRun = 1 } },
        { { Reply::Unknown }, 0, {} },
        { { Reply::Unknown, Reply::NotRun }, 1, {} },
    }));
    OrderBook book;
    for (auto const reply : example.replies)
        book.note("k", reply);
    ExecutionCounts counts;
    if (example.executions > 0)
        counts["k"] = example.executions;
    auto const faults = book.compare(counts);
    CHECK(faults.doubled == example.expected.doubled);
    CHECK(faults.lost == example.expected.lost);
    CHECK(faults.falseNotRun == example.expected.falseNotRun);
}

// Benchmarks compare percentiles with the latency goals. The bins of the histogram must not distort them.
TEST_CASE("LatencyHistogram_Quantiles_AreWithinABin")
{
    LatencyHistogram histogram;
    for (auto milliseconds = 1; milliseconds <= 1000; ++milliseconds)
        histogram.add(milliseconds);
    CHECK(histogram.quantile(0.5) == Approx(500).epsilon(0.01));
    CHECK(histogram.quantile(0.99) == Approx(990).epsilon(0.01));
    CHECK(LatencyHistogram().quantile(0.5) == 0);
}

// A resumed download can start at any byte and must get the same content from there on.
TEST_CASE("TestContent_DownloadFromOffset_MatchesWhole")
{
    std::string whole(1000, '\0');
    TestContent::fillDownload("/download/a/1000", 0, whole);
    for (auto const offset : { 1U, 7U, 8U, 500U, 999U }) {
        std::string part(1000 - offset, '\0');
        TestContent::fillDownload("/download/a/1000", offset, part);
        CHECK(part == whole.substr(offset));
    }
    CHECK(TestContent::downloadLength("/download/a/1000") == 1000);
    CHECK(TestContent::downloadLength("/download/a/x") == 0);
}
