#include <LibRouting/SpeedEstimate.h>
#include <cmath>

namespace Comfreysail::Routing {

namespace {

// Weight, in responses, of the prior assumption that the target has typical speed. With 2, a healthy target with
// exponential service times is taken to be three times slower than typical after 1.8% of its responses, and a target
// that stops is after 4 units of work.
constexpr double priorAnswers = 2;

// Fraction of the older responses that is kept at each new one. The estimate covers about the last three responses,
// because slow phases last only for a few slow responses.
constexpr double keptFractionPerAnswer = 0.6;

// Slow phases last 50 to 500 ms, so a target without requests is tried again on this time scale.
constexpr double idleDecaySeconds = 0.2;

double secondsBetween(Core::Instant from, Core::Instant to) { return std::chrono::duration<double>(to - from).count(); }

}

void SpeedEstimate::addWork(double units, Core::Instant now)
{
    m_openWork += units;
    m_lastChange = now;
}

void SpeedEstimate::addAnswer(Core::Instant now)
{
    m_work = m_work * keptFractionPerAnswer + m_openWork;
    m_answers = m_answers * keptFractionPerAnswer + 1;
    m_openWork = 0;
    m_lastChange = now;
}

double SpeedEstimate::slowness(double openUnits, bool isIdle, Core::Instant now) const
{
    // Up to one unit of open work is no evidence of slowness: its response is not due yet.
    auto const open = std::max(0.0, m_openWork + openUnits - 1);
    auto const estimate = (priorAnswers + m_work + open) / (priorAnswers + m_answers);
    if (!isIdle || estimate <= 1)
        return estimate;
    return 1 + (estimate - 1) * std::exp(-secondsBetween(m_lastChange, now) / idleDecaySeconds);
}

}
