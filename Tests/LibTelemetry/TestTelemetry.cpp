#include <LibTelemetry/Telemetry.h>
#include <catch2/catch.hpp>
#include <cmath>
#include <thread>

using namespace Comfreysail;
using namespace Comfreysail::Telemetry;

// An unescaped line break or quote in a value would split one event into two lines or hide a field.
TEST_CASE("EventLine_SpecialCharacters_StayOnOneLine")
{
    EventLine line("request");
    line.add("id", "a1").add("path", "/a b").add("detail", "x\n\"y\"").add("attempt", 2).add("ms", 1.5).add("ok", true);
    CHECK(line.text() == "event=request id=a1 path=\"/a b\" detail=\"x\\x0a\\\"y\\\"\" attempt=2 ms=1.500 ok=true");
    CHECK(EventLine("x").add("empty", "").text() == "event=x empty=\"\"");
}

// The documented precision of percentiles is one bucket width, 20%.
TEST_CASE("LatencyHistogram_KnownSamples_PercentilesWithinOneBucket")
{
    LatencyHistogram histogram;
    for (int milliseconds = 1; milliseconds <= 1000; ++milliseconds)
        histogram.add(std::chrono::milliseconds(milliseconds));
    CHECK(histogram.count() == 1000);
    for (double share : { 0.5, 0.9, 0.99 }) {
        CAPTURE(share);
        auto const microseconds = static_cast<double>(histogram.percentile(share).count());
        CHECK(microseconds >= share * 1e6);
        CHECK(microseconds <= share * 1e6 * 1.21);
    }
    CHECK(histogram.sumSeconds() == Approx(500.5));
}

// Samples outside the bucket range must be counted, or a stall of minutes would not be visible.
TEST_CASE("LatencyHistogram_SamplesOutsideRange_AreCounted")
{
    LatencyHistogram histogram;
    histogram.add(Core::Duration(1));
    histogram.add(std::chrono::minutes(5));
    CHECK(histogram.count() == 2);
    CHECK(histogram.percentile(1.0) == std::chrono::seconds(120));
    CHECK(LatencyHistogram().percentile(0.99) == Core::Duration(0));
}

// A scrape with all buckets of 390 histograms took 1.2 MB, which exceeds the 29 KB/s budget for control traffic.
TEST_CASE("LatencyHistogram_CoarseBuckets_KeepCountsAndStayFew")
{
    LatencyHistogram histogram;
    for (int milliseconds = 1; milliseconds <= 1000; ++milliseconds)
        histogram.add(std::chrono::milliseconds(milliseconds));
    auto const coarse = histogram.coarseBuckets();
    CHECK(coarse.size() <= 23);
    CHECK(coarse.back() == histogram.buckets().back());
    for (auto const& bucket : coarse) {
        auto const expected = std::min(1000.0, std::floor(bucket.upperBoundSeconds * 1000));
        CHECK(static_cast<double>(bucket.count) == Approx(expected).margin(1));
    }
}

// Threads add samples without a lock; a lost update would make the count too low.
TEST_CASE("LatencyHistogram_ConcurrentAdds_LoseNothing")
{
    LatencyHistogram histogram;
    std::vector<std::jthread> workers;
    workers.reserve(4);
    for (int worker = 0; worker < 4; ++worker)
        workers.emplace_back([&] {
            for (int sample = 0; sample < 10'000; ++sample)
                histogram.add(std::chrono::milliseconds(3));
        });
    workers.clear();
    CHECK(histogram.count() == 40'000);
}

// Scrapers reject a page with unescaped label values or without the +Inf bucket.
TEST_CASE("MetricRegistry_PrometheusText_FollowsTheFormat")
{
    MetricRegistry registry;
    registry.counter("comfreysail_requests_total", { { "department", "a\"b" } }).add(3);
    registry.gauge("comfreysail_ready").set(1);
    registry.histogram("comfreysail_queue_seconds", { { "class", "lookup" } }).add(std::chrono::milliseconds(2));
    auto const text = registry.prometheusText();
    CHECK(text.find("# TYPE comfreysail_requests_total counter\n") != std::string::npos);
    CHECK(text.find("comfreysail_requests_total{department=\"a\\\"b\"} 3\n") != std::string::npos);
    CHECK(text.find("comfreysail_ready 1\n") != std::string::npos);
    CHECK(text.find("comfreysail_queue_seconds_bucket{class=\"lookup\",le=\"+Inf\"} 1\n") != std::string::npos);
    CHECK(text.find("comfreysail_queue_seconds_count{class=\"lookup\"} 1\n") != std::string::npos);
}

// Callers that make up department names must not grow the daemon's memory.
TEST_CASE("MetricRegistry_ManyLabelValues_SeriesStayBounded")
{
    MetricRegistry registry;
    for (int department = 0; department < 10'000; ++department)
        registry.counter("comfreysail_requests_total", { { "department", std::to_string(department) } }).add();
    CHECK(registry.seriesCount() == MetricRegistry::maxSeriesPerMetric);
    auto& other = registry.counter("comfreysail_requests_total", { { "department", "other" } });
    CHECK(other.value() == 10'000 - (MetricRegistry::maxSeriesPerMetric - 1));
}

// A burst of lines must neither fill the log nor take CPU time from requests, but its first and last lines are kept.
TEST_CASE("LogRateLimiter_Burst_KeepsTheFirstLinesAndTheLast")
{
    auto const at = [](int milliseconds) { return Core::Instant(std::chrono::milliseconds(milliseconds + 10'000)); };
    LogRateLimiter rateLimiter(LogRateLimiterOptions { 3 });
    for (int line = 0; line < 10; ++line)
        CHECK(rateLimiter.admits("refused", "line " + std::to_string(line), at(line)) == (line < 3));
    CHECK(rateLimiter.admits("other", "x", at(5)));
    CHECK(rateLimiter.takeSuppressed(at(500)).empty());
    CHECK(rateLimiter.takeSuppressed(at(1000)) == std::vector<SuppressedLines> { { "refused", 7, "line 9" } });
    CHECK(rateLimiter.takeSuppressed(at(1001)).empty());
    CHECK(rateLimiter.admits("refused", "line 10", at(1002)));
}

// The "explain" command of the operators' tool must parse exactly what the daemon logs.
TEST_CASE("EventText_WrittenLine_IsReadAsItWas")
{
    EventLine line("request_refused");
    line.add("request_id", "a1").add("detail", "x\n\"y\" = \\").add("empty", "").add("sends", 2);
    auto const read
        = parseEventLine("  26.0126 edge-1 I20260905 21:47:14.012493 10178 EventLine.cpp:62] " + line.text());
    REQUIRE(read);
    CHECK(*read
        == EventText { "20260905 21:47:14.012493", "edge-1", "request_refused",
            { { "request_id", "a1" }, { "detail", "x\n\"y\" = \\" }, { "empty", "" }, { "sends", "2" } } });
    CHECK(read->field("sends") == "2");
    CHECK_FALSE(read->field("other"));
    CHECK_FALSE(parseEventLine("no event here"));
    CHECK_FALSE(parseEventLine("previous_event=x"));
}
