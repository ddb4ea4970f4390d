#include <LibTelemetry/MetricRegistry.h>
#include <cmath>
#include <sstream>

namespace Comfreysail::Telemetry {

namespace {

std::string escapeLabelValue(std::string_view value)
{
    std::string escaped;
    for (char character : value) {
        if (character == '\n') {
            escaped += "\\n";
            continue;
        }
        if (character == '"' || character == '\\')
            escaped += '\\';
        escaped += character;
    }
    return escaped;
}

void writeLabels(std::ostream& out, Labels const& labels)
{
    if (labels.empty())
        return;
    char separator = '{';
    for (auto const& label : labels) {
        out << separator << label.name << "=\"" << escapeLabelValue(label.value) << '"';
        separator = ',';
    }
    out << '}';
}

void writeSeries(std::ostream& out, std::string_view name, Labels const& labels, auto value)
{
    out << name;
    writeLabels(out, labels);
    out << ' ' << value << '\n';
}

std::string boundText(double upperBoundSeconds)
{
    if (std::isinf(upperBoundSeconds))
        return "+Inf";
    std::ostringstream text;
    text << upperBoundSeconds;
    return text.str();
}

void writeHistogram(std::ostream& out, std::string const& name, Labels const& labels, LatencyHistogram const& histogram)
{
    auto const buckets = histogram.coarseBuckets();
    uint64_t previousCount = 0;
    for (auto const& bucket : buckets) {
        // Empty buckets are omitted to keep the page small; the cumulative counts remain correct.
        bool const isLast = std::isinf(bucket.upperBoundSeconds);
        if (bucket.count == previousCount && !isLast)
            continue;
        previousCount = bucket.count;
        auto bucketLabels = labels;
        bucketLabels.push_back({ "le", boundText(bucket.upperBoundSeconds) });
        writeSeries(out, name + "_bucket", bucketLabels, bucket.count);
    }
    writeSeries(out, name + "_sum", labels, histogram.sumSeconds());
    writeSeries(out, name + "_count", labels, buckets.back().count);
}

}

template<typename Metric>
Metric& MetricRegistry::findOrInsert(Families<Metric>& families, std::string_view name, Labels const& labels)
{
    auto family = families.find(name);
    if (family == families.end())
        family = families.emplace(std::string(name), Family<Metric> {}).first;
    auto& series = family->second;
    if (auto const found = series.find(labels); found != series.end())
        return *found->second;

    auto insertedLabels = labels;
    if (series.size() + 1 >= maxSeriesPerMetric) {
        for (auto& label : insertedLabels)
            label.value = "other";
    }
    auto& slot = series[insertedLabels];
    if (!slot)
        slot = std::make_unique<Metric>();
    return *slot;
}

Counter& MetricRegistry::counter(std::string_view name, Labels const& labels)
{
    std::lock_guard const lock(m_mutex);
    return findOrInsert(m_counters, name, labels);
}

Gauge& MetricRegistry::gauge(std::string_view name, Labels const& labels)
{
    std::lock_guard const lock(m_mutex);
    return findOrInsert(m_gauges, name, labels);
}

LatencyHistogram& MetricRegistry::histogram(std::string_view name, Labels const& labels)
{
    std::lock_guard const lock(m_mutex);
    return findOrInsert(m_histograms, name, labels);
}

std::string MetricRegistry::prometheusText() const
{
    std::lock_guard const lock(m_mutex);
    std::ostringstream out;
    for (auto const& [name, family] : m_counters) {
        out << "# TYPE " << name << " counter\n";
        for (auto const& [labels, counter] : family)
            writeSeries(out, name, labels, counter->value());
    }
    for (auto const& [name, family] : m_gauges) {
        out << "# TYPE " << name << " gauge\n";
        for (auto const& [labels, gauge] : family)
            writeSeries(out, name, labels, gauge->value());
    }
    for (auto const& [name, family] : m_histograms) {
        out << "# TYPE " << name << " histogram\n";
        for (auto const& [labels, histogram] : family)
            writeHistogram(out, name, labels, *histogram);
    }
    return out.str();
}

size_t MetricRegistry::seriesCount() const
{
    std::lock_guard const lock(m_mutex);
    size_t count = 0;
    for (auto const& [name, family] : m_counters)
        count += family.size();
    for (auto const& [name, family] : m_gauges)
        count += family.size();
    for (auto const& [name, family] : m_histograms)
        count += family.size();
    return count;
}

}
