#include <LibTraffic/WaitingWorth.h>

namespace Comfreysail::Traffic {

namespace {

constexpr double sampleWeight = 0.1;
constexpr double leastPartInTime = 0.5;
constexpr double exploredPart = 0.03;

}

void WaitingWorth::note(bool wasInTime) { m_partInTime += sampleWeight * ((wasInTime ? 1 : 0) - m_partInTime); }

bool WaitingWorth::pays(double uniform) const { return m_partInTime >= leastPartInTime || uniform < exploredPart; }

}
