#include <LibTraffic/CallerTimeoutEstimate.h>

#include <algorithm>

namespace Comfreysail::Traffic {

namespace {

// With each request that has less time left, the estimate falls by this part of the difference, so that one caller with
// a much longer timeout does not make all other requests look late forever. Requests that look like retries count less,
// since under overload most of them are.
constexpr int decayDivisor = 50;
constexpr int decayDivisorOfRetries = 100;
// Callers of a route start with timeouts that differ by up to this fraction of the longest one.
constexpr int timeoutSpreadPercent = 15;
constexpr int allPercent = 100;

}

Core::Duration CallerTimeoutEstimate::note(Core::Duration left)
{
    bool const mayBeNew = left >= m_limit * (allPercent - timeoutSpreadPercent) / allPercent;
    m_limit = std::max(left, m_limit - (m_limit - left) / (mayBeNew ? decayDivisor : decayDivisorOfRetries));
    auto const meanTimeout = m_limit * (2 * allPercent - timeoutSpreadPercent) / (2 * allPercent);
    return mayBeNew ? Core::Duration {} : meanTimeout - left;
}

}
