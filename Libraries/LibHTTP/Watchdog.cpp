#include <LibHTTP/Watchdog.h>

#include <algorithm>
#include <boost/asio/bind_executor.hpp>
#include <utility>

namespace Comfreysail::HTTP {

std::shared_ptr<Watchdog> Watchdog::create(asio::any_io_executor const& strand)
{
    return std::shared_ptr<Watchdog>(new Watchdog(strand));
}

Watchdog::Watchdog(asio::any_io_executor const& strand)
    : m_timer(strand)
{
}

void Watchdog::arm(Core::Instant deadline, std::function<void()> onExpiry)
{
    m_limit = SteppedWait { deadline };
    m_onExpiry = std::move(onExpiry);
    if (!m_wakesAt || deadline < *m_wakesAt)
        wait(deadline);
}

void Watchdog::armInSteps(Core::Instant deadline, unsigned maxUncountedSteps, std::function<void()> onExpiry)
{
    m_limit = SteppedWait { deadline, maxUncountedSteps };
    m_onExpiry = std::move(onExpiry);
    waitForNextStep();
}

Core::Duration Watchdog::timeSinceLastStep() const { return Core::suspendAwareNow() - m_lastStepAt; }

void Watchdog::waitForNextStep()
{
    m_lastStepAt = Core::suspendAwareNow();
    wait(m_limit->endOfStep(Core::monotonicNow()));
}

void Watchdog::extend(Core::Instant deadline)
{
    if (m_limit)
        m_limit->deadline = std::max(m_limit->deadline, deadline);
}

void Watchdog::disarm()
{
    m_limit.reset();
    m_onExpiry = nullptr;
}

void Watchdog::wait(Core::Instant until)
{
    m_wakesAt = until;
    m_timer.expires_at(until);
    // A weak reference, so that a long deadline does not keep a finished session in memory.
    m_timer.async_wait([weak = weak_from_this(), number = ++m_waitNumber](ErrorCode) {
        auto self = weak.lock();
        if (self && self->m_waitNumber == number)
            self->onTimer();
    });
}

void Watchdog::onTimer()
{
    auto const plannedAt = *std::exchange(m_wakesAt, std::nullopt);
    if (!m_limit)
        return;
    auto const now = Core::monotonicNow();
    m_limit->noteEndOfStep(plannedAt, now);
    if (now < m_limit->deadline) {
        waitForNextStep();
        return;
    }
    m_limit.reset();
    auto const onExpiry = std::move(m_onExpiry);
    m_onExpiry = nullptr;
    if (onExpiry)
        onExpiry();
}

}
