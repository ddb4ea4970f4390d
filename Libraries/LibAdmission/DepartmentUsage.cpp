#include <LibAdmission/DepartmentUsage.h>
#include <algorithm>
#include <cmath>

namespace Comfreysail::Admission {

void DepartmentUsage::noteRequest(unsigned weight, Core::Instant now)
{
    m_weight = std::max(weight, 1U);
    m_lastRequestAt = now;
}

double DepartmentUsage::meanInFlight(Core::Instant now) const
{
    auto const elapsed = std::chrono::duration<double>(now - m_meanUpdatedAt);
    auto const current = static_cast<double>(m_inFlight);
    return current + (m_meanInFlight - current) * std::exp(-elapsed / m_options.averagingTime);
}

void DepartmentUsage::updateMean(Core::Instant now)
{
    m_meanInFlight = meanInFlight(now);
    m_meanUpdatedAt = now;
}

void DepartmentUsage::noteSent(Core::Instant now)
{
    updateMean(now);
    ++m_inFlight;
}

void DepartmentUsage::noteFinished(Core::Instant now)
{
    updateMean(now);
    --m_inFlight;
}

bool DepartmentUsage::isActive(Core::Instant now) const
{
    return m_queued > 0 || m_inFlight > 0 || now < m_lastRequestAt + m_options.idleTimeout;
}

}
