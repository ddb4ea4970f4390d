#include <LibOverload/WorkEstimate.h>

#include <algorithm>

namespace Comfreysail::Overload {

namespace {

constexpr double maxSampledCost = 1.7;
constexpr unsigned minSamples = 5;
// Minimum weight of a sample. The first samples are averaged evenly.
constexpr double sampleWeight = 0.05;
// The part of long requests is small, so it is averaged over more samples.
constexpr double longPartWeight = 0.01;
// Requests of one kind differ by less than this factor.
constexpr double longFactor = 3;

Core::Duration toDuration(double microseconds)
{
    return Core::Duration(static_cast<Core::Duration::rep>(microseconds));
}

}

void WorkEstimate::note(Core::Duration time, double cost)
{
    if (cost <= 0 || cost > maxSampledCost)
        return;
    ++m_samples;
    auto const sample = static_cast<double>(time.count()) / cost;
    auto const even = 1.0 / m_samples;
    // The first sample may be a long one; then the usual ones are far below it.
    if (m_samples == 1 || sample * longFactor < m_typical) {
        m_typical = sample;
        return;
    }
    bool const isLong = sample > m_typical * longFactor;
    m_longPart += std::max(longPartWeight, even) * ((isLong ? 1 : 0) - m_longPart);
    if (isLong)
        m_long += (m_long == 0 ? 1 : sampleWeight) * (sample - m_long);
    else
        m_typical += std::max(sampleWeight, even) * (sample - m_typical);
    // If most requests look long, all of them have become longer.
    if (m_longPart > 0.5) {
        m_typical = m_long;
        m_longPart = 0;
    }
}

bool WorkEstimate::isKnown() const { return m_samples >= minSamples; }

Core::Duration WorkEstimate::typical() const { return toDuration(m_typical); }

Core::Duration WorkEstimate::expected() const { return toDuration(m_typical * (1 - m_longPart) + m_long * m_longPart); }

}
