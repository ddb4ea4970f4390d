#include <LibAdmission/DrainRate.h>
#include <algorithm>

namespace Comfreysail::Admission {

namespace {

// The mean covers about this many completions.
constexpr unsigned window = 32;

// With exponentially distributed intervals, a mean of 8 samples is off by about a third. With fewer, no request is
// refused.
constexpr unsigned minSamples = 8;

}

void DrainRate::noteFinished(bool hasQueuedRequests, Core::Instant now)
{
    if (m_hadQueuedRequests) {
        auto const sample = std::chrono::duration<double>(now - m_lastFinish).count();
        m_samples = std::min(m_samples + 1, window);
        m_meanSeconds += (sample - m_meanSeconds) / m_samples;
    }
    m_hadQueuedRequests = hasQueuedRequests;
    m_lastFinish = now;
}

Core::Duration DrainRate::interval() const
{
    if (m_samples < minSamples)
        return Core::Duration::zero();
    return std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(m_meanSeconds));
}

}
