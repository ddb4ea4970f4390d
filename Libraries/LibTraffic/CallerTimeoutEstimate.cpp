#include <LibTraffic/CallerTimeoutEstimate.h>

#include <algorithm>

namespace Comfreysail::Traffic {

namespace {

// With each request that has less time left, the estimate falls by 1/50 of the difference, so that one caller with a
// much longer timeout does not make all other requests look late forever.
constexpr int decayDivisor = 50;

}

Core::Duration CallerTimeoutEstimate::note(Core::Duration left)
{
    m_limit = std::max(left, m_limit - (m_limit - left) / decayDivisor);
    return m_limit - left;
}

}
