#include <LibTraffic/RequestRateEstimate.h>

#include <algorithm>
#include <cmath>

namespace Comfreysail::Traffic {

namespace {

// Bursts last 3 to 7 s. The subset of targets must not follow them, since each target that is new to it costs a
// connection.
constexpr double decaySeconds = 20;

double decay(Core::Instant from, Core::Instant to)
{
    auto const seconds = std::chrono::duration<double>(to - from).count();
    return std::exp(-std::max(seconds, 0.0) / decaySeconds);
}

}

void RequestRateEstimate::note(Core::Instant now)
{
    m_count = m_count * decay(m_lastAt, now) + 1;
    m_lastAt = std::max(m_lastAt, now);
}

double RequestRateEstimate::perSecond(Core::Instant now) const { return m_count * decay(m_lastAt, now) / decaySeconds; }

}
