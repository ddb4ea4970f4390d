#include <LibTraffic/TimeLimit.h>

#include <algorithm>

namespace Comfreysail::Traffic {

namespace {

// The limit falls by this part of the difference with each request that has less left, so that one caller with a much
// longer limit does not make all others look late for good.
constexpr int fallingPart = 50;

}

Core::Duration TimeLimit::note(Core::Duration left)
{
    m_limit = std::max(left, m_limit - (m_limit - left) / fallingPart);
    return m_limit - left;
}

}
