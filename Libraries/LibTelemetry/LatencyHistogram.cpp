#include <LibTelemetry/LatencyHistogram.h>
#include <cmath>
#include <limits>

namespace Comfreysail::Telemetry {

namespace {

constexpr double lowestSeconds = 50e-6;
constexpr double highestSeconds = 120;
constexpr unsigned bucketCount = 80;
constexpr size_t coarseStep = 4;
constexpr double microsecondsPerSecond = 1e6;

}

LatencyHistogram::LatencyHistogram()
    : m_histogram(std::tuple<Axis>(Axis(bucketCount, lowestSeconds, highestSeconds)), Storage())
{
}

void LatencyHistogram::add(Core::Duration latency)
{
    auto const microseconds = latency.count() > 0 ? static_cast<uint64_t>(latency.count()) : 0;
    m_histogram(static_cast<double>(microseconds) / microsecondsPerSecond);
    m_sumMicroseconds += microseconds;
}

uint64_t LatencyHistogram::count() const { return buckets().back().count; }

Core::Duration LatencyHistogram::percentile(double share) const
{
    auto const all = buckets();
    auto const total = all.back().count;
    if (total == 0)
        return Core::Duration(0);
    auto const rank = static_cast<uint64_t>(std::ceil(share * static_cast<double>(total)));
    for (auto const& bucket : all) {
        if (bucket.count < rank)
            continue;
        auto const bound = std::isinf(bucket.upperBoundSeconds) ? highestSeconds : bucket.upperBoundSeconds;
        return Core::Duration(std::llround(bound * microsecondsPerSecond));
    }
    return Core::Duration(std::llround(highestSeconds * microsecondsPerSecond));
}

double LatencyHistogram::sumSeconds() const
{
    return static_cast<double>(m_sumMicroseconds.value()) / microsecondsPerSecond;
}

std::vector<CumulativeBucket> LatencyHistogram::buckets() const
{
    std::vector<CumulativeBucket> result;
    result.reserve(bucketCount + 2);
    auto const& axis = m_histogram.axis();
    uint64_t count = m_histogram.at(-1).value();
    result.push_back({ lowestSeconds, count });
    for (int index = 0; index < axis.size(); ++index) {
        count += m_histogram.at(index).value();
        result.push_back({ axis.bin(index).upper(), count });
    }
    count += m_histogram.at(axis.size()).value();
    result.push_back({ std::numeric_limits<double>::infinity(), count });
    return result;
}

std::vector<CumulativeBucket> LatencyHistogram::coarseBuckets() const
{
    auto const all = buckets();
    std::vector<CumulativeBucket> coarse;
    coarse.reserve(all.size() / coarseStep + 2);
    for (size_t index = 0; index + 1 < all.size(); index += coarseStep)
        coarse.push_back(all[index]);
    coarse.push_back(all.back());
    return coarse;
}

}
