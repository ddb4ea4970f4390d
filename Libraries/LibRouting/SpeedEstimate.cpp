#include <LibRouting/SpeedEstimate.h>
#include <cmath>

namespace Comfreysail::Routing {

namespace {

// Weight of the assumption that the target has typical speed, in answers. With 2 a healthy target of exponential
// service times is called three times slower than typical after 1.8% of its answers, and a target that stops is
// called so after 4 units of work.
constexpr double priorAnswers = 2;

// Part of the older answers that is kept at each new one: the estimate covers about the last three answers, because
// slow phases last only a few slow answers.
constexpr double retention = 0.6;

// Slow phases last 50 to 500 ms. A target without requests is tried again on this time scale.
constexpr double forgetSeconds = 0.2;

double secondsBetween(Core::Instant from, Core::Instant to) { return std::chrono::duration<double>(to - from).count(); }

}

void SpeedEstimate::addWork(double units, Core::Instant now)
{
    m_openWork += units;
    m_lastChange = now;
}

void SpeedEstimate::addAnswer(Core::Instant now)
{
    m_work = m_work * retention + m_openWork;
    m_answers = m_answers * retention + 1;
    m_openWork = 0;
    m_lastChange = now;
}

double SpeedEstimate::slowness(double unfinishedUnits, bool isIdle, Core::Instant now) const
{
    // Open work of less than one answer is no evidence of slowness: its answer is still due.
    auto const open = std::max(0.0, m_openWork + unfinishedUnits - 1);
    auto const estimate = (priorAnswers + m_work + open) / (priorAnswers + m_answers);
    if (!isIdle || estimate <= 1)
        return estimate;
    return 1 + (estimate - 1) * std::exp(-secondsBetween(m_lastChange, now) / forgetSeconds);
}

}
