#include <LibTraffic/WaitingWorth.h>

namespace Comfreysail::Traffic {

namespace {

constexpr double sampleWeight = 0.1;
constexpr double minOnTimeFraction = 0.5;
constexpr double explorationFraction = 0.03;

}

void WaitingWorth::note(bool wasOnTime) { m_onTimeFraction += sampleWeight * ((wasOnTime ? 1 : 0) - m_onTimeFraction); }

bool WaitingWorth::pays(double uniform) const
{
    return m_onTimeFraction >= minOnTimeFraction || uniform < explorationFraction;
}

}
