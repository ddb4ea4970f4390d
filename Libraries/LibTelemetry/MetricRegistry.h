#pragma once

#include <LibTelemetry/LatencyHistogram.h>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Telemetry {

/// A label of a series, for example department=civil.
struct Label {
    std::string name;
    std::string value;

    auto operator<=>(Label const&) const = default;
};

using Labels = std::vector<Label>;

/// A monotonically increasing value.
class Counter {
public:
    void add(uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<uint64_t> m_value { 0 };
};

/// A value that can increase and decrease.
class Gauge {
public:
    void set(int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    void add(int64_t amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<int64_t> m_value { 0 };
};

/// Holds all metrics of a process. A metric is created when its name and labels are first used and lives as long as the
/// registry, so callers keep the reference instead of looking it up for each request.
///
/// Each metric name has at most maxSeriesPerMetric series. Further series share one whose label values are all "other",
/// so that callers that make up department names cannot grow the daemon's memory.
class MetricRegistry {
public:
    static constexpr size_t maxSeriesPerMetric = 400;

    Counter& counter(std::string_view name, Labels const& = {});
    Gauge& gauge(std::string_view name, Labels const& = {});
    LatencyHistogram& histogram(std::string_view name, Labels const& = {});

    /// All metrics in the Prometheus text format, version 0.0.4.
    std::string prometheusText() const;

    size_t seriesCount() const;

private:
    template<typename Metric> using Family = std::map<Labels, std::unique_ptr<Metric>>;
    template<typename Metric> using Families = std::map<std::string, Family<Metric>, std::less<>>;

    template<typename Metric> static Metric& findOrInsert(Families<Metric>&, std::string_view name, Labels const&);

    mutable std::mutex m_mutex;
    Families<Counter> m_counters;
    Families<Gauge> m_gauges;
    Families<LatencyHistogram> m_histograms;
};

}
