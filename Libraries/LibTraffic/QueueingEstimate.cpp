#include <LibTraffic/QueueingEstimate.h>

namespace Comfreysail::Traffic {

namespace {

constexpr double sampleWeight = 0.1;
// A request that waits and ends late takes a slot from one that would be on time, so waiting must nearly always
// succeed.
constexpr double minOnTimeFraction = 0.8;
constexpr double explorationFraction = 0.03;

}

void QueueingEstimate::note(bool wasOnTime)
{
    m_onTimeFraction += sampleWeight * ((wasOnTime ? 1 : 0) - m_onTimeFraction);
}

bool QueueingEstimate::shouldWait(double uniform) const
{
    return m_onTimeFraction >= minOnTimeFraction || uniform < explorationFraction;
}

}
