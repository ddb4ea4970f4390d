#include <LibTraffic/ServiceTimeEstimate.h>

#include <algorithm>

namespace Comfreysail::Traffic {

namespace {

constexpr double maxSampledCost = 1.7;
// Minimum weight of a sample. The first samples are averaged evenly.
constexpr double sampleWeight = 0.05;
constexpr unsigned minSamples = 5;

}

void ServiceTimeEstimate::note(Core::Duration time, double cost)
{
    if (cost <= 0 || cost > maxSampledCost)
        return;
    ++m_samples;
    auto const weight = std::max(sampleWeight, 1.0 / m_samples);
    m_microseconds += weight * (static_cast<double>(time.count()) / cost - m_microseconds);
}

bool ServiceTimeEstimate::isKnown() const { return m_samples >= minSamples && m_microseconds > 0; }

double ServiceTimeEstimate::maxCostWithin(Core::Duration time) const
{
    if (!isKnown())
        return 0;
    return std::max(0.0, static_cast<double>(time.count()) / m_microseconds);
}

Core::Duration ServiceTimeEstimate::typical() const
{
    return Core::Duration(static_cast<Core::Duration::rep>(m_microseconds));
}

}
