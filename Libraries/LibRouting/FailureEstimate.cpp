#include <LibRouting/FailureEstimate.h>
#include <algorithm>

namespace Comfreysail::Routing {

namespace {

// With these values, two consecutive failures or one failed connection make a target failing.
constexpr double sampleWeight = 0.3;
constexpr double failingRate = 0.5;

// A failing target's rate must exceed the rate of the rest of the group by this factor.
constexpr double minFactorOverOthers = 2;

constexpr Core::Duration initialBackoff = std::chrono::milliseconds(100);
constexpr Core::Duration maxBackoff = std::chrono::seconds(2);

}

void FailureEstimate::note(SendOutcome outcome, Core::Instant now)
{
    switch (outcome) {
    case SendOutcome::Cancelled:
        return;
    case SendOutcome::Answered:
        m_rate *= 1 - sampleWeight;
        if (m_rate < failingRate)
            m_backoff = Core::Duration::zero();
        return;
    case SendOutcome::ConnectFailed:
        // A missing listener is certain evidence and costs nothing to detect.
        m_rate = 1;
        break;
    case SendOutcome::ServerError:
    case SendOutcome::Shed:
    case SendOutcome::ConnectionLost:
    case SendOutcome::TimedOut:
        m_rate += (1 - m_rate) * sampleWeight;
        break;
    }
    m_backoff = std::clamp(2 * m_backoff, initialBackoff, maxBackoff);
    m_testAt = now + m_backoff;
}

bool FailureEstimate::isFailing(double rateOfOthers) const
{
    return m_rate > failingRate && m_rate > minFactorOverOthers * rateOfOthers;
}

}
