#include <Replay/Cluster.h>
#include <Replay/SimulatedTarget.h>
#include <algorithm>
#include <cmath>

namespace Comfreysail::RoutingReplay {

namespace {

constexpr double slowSpeed = 0.1;
constexpr double coldSpeed = 0.2;
constexpr unsigned requestsToWarmUp = 30;

}

double SimulatedTarget::speed() const { return (m_isSlow ? slowSpeed : 1) * (isCold() ? coldSpeed : 1); }

void SimulatedTarget::advance(Core::Instant now)
{
    auto const done = static_cast<double>((now - m_advancedAt).count()) * speed();
    for (auto& job : m_running)
        job.work -= done;
    m_advancedAt = now;
}

void SimulatedTarget::startWaiting(Core::Instant now)
{
    while (!m_waiting.empty() && m_running.size() < slotsPerTarget) {
        auto const job = m_waiting.front();
        m_waiting.pop_front();
        if (job.startBy < now)
            m_expired.push_back(job.request);
        else
            m_running.push_back(job);
    }
}

void SimulatedTarget::add(Job job, Core::Instant now)
{
    advance(now);
    m_waiting.push_back(job);
    startWaiting(now);
    if (isCold())
        m_mostWhileCold = std::max(m_mostWhileCold, inFlight());
}

void SimulatedTarget::setSlow(bool isSlow, Core::Instant now)
{
    advance(now);
    m_isSlow = isSlow;
}

void SimulatedTarget::becomeCold(Core::Instant now)
{
    advance(now);
    m_coldRequests = requestsToWarmUp;
}

std::optional<Core::Instant> SimulatedTarget::nextEnd() const
{
    if (m_running.empty())
        return std::nullopt;
    auto const next = std::min_element(
        m_running.begin(), m_running.end(), [](Job const& left, Job const& right) { return left.work < right.work; });
    auto const time = std::ceil(std::max(next->work, 0.0) / speed());
    return m_advancedAt + Core::Duration(static_cast<int64_t>(time));
}

std::optional<size_t> SimulatedTarget::takeEnded(Core::Instant now)
{
    advance(now);
    auto const ended = std::find_if(m_running.begin(), m_running.end(), [](Job const& job) { return job.work < 0.5; });
    if (ended == m_running.end())
        return std::nullopt;
    auto const request = ended->request;
    m_running.erase(ended);
    if (m_coldRequests > 0)
        --m_coldRequests;
    startWaiting(now);
    return request;
}

std::optional<size_t> SimulatedTarget::takeExpired()
{
    if (m_expired.empty())
        return std::nullopt;
    auto const request = m_expired.back();
    m_expired.pop_back();
    return request;
}

}
