#include <LibHTTP/Watchdog.h>

#include <boost/asio/bind_executor.hpp>

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
    m_deadline = deadline;
    m_onExpiry = std::move(onExpiry);
    if (!m_wakesAt || deadline < *m_wakesAt)
        wait(deadline);
}

void Watchdog::extend(Core::Instant deadline)
{
    if (m_deadline)
        m_deadline = deadline;
}

void Watchdog::disarm()
{
    m_deadline.reset();
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
    m_wakesAt.reset();
    if (!m_deadline)
        return;
    if (Core::monotonicNow() < *m_deadline) {
        wait(*m_deadline);
        return;
    }
    m_deadline.reset();
    auto const onExpiry = std::move(m_onExpiry);
    m_onExpiry = nullptr;
    if (onExpiry)
        onExpiry();
}

}
