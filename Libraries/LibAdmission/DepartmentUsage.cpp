#include <LibAdmission/DepartmentUsage.h>
#include <algorithm>
#include <cmath>

namespace Comfreysail::Admission {

namespace {

// A department without requests for this long is no longer counted when shares are computed.
constexpr Core::Duration idleTimeout = std::chrono::seconds(1);

// Time constant of the average, which covers some hundred requests of a busy group. With a shorter one, departments
// would exceed their share by chance.
constexpr double averagingSeconds = 0.3;

}

void DepartmentUsage::noteRequest(unsigned weight, Core::Instant now)
{
    m_weight = std::max(weight, 1U);
    m_lastRequestAt = now;
}

double DepartmentUsage::meanInFlight(Core::Instant now) const
{
    auto const elapsed = std::chrono::duration<double>(now - m_meanUpdatedAt).count();
    auto const current = static_cast<double>(m_inFlight);
    return current + (m_meanInFlight - current) * std::exp(-elapsed / averagingSeconds);
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
    return m_queued > 0 || m_inFlight > 0 || now < m_lastRequestAt + idleTimeout;
}

}
