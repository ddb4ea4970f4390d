#include "BodyReservation.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace Comfreysail::Daemon {

using HTTP::awaitable;
using namespace std::chrono_literals;

namespace {

constexpr auto pollInterval = 20ms;
// A body of unknown length grows in larger and larger steps, as the memory of the string that holds it does.
constexpr size_t minGrowthBytes = size_t { 64 } << 10;

}

BodyReservation::~BodyReservation() { release(); }

void BodyReservation::release() { m_budget.release(std::exchange(m_bytes, 0)); }

awaitable<bool> BodyReservation::reserve(size_t bytes, StopSignal& stopSignal, Core::Instant deadline)
{
    if (m_budget.tryReserve(bytes)) {
        m_bytes = bytes;
        co_return true;
    }
    auto const ticket = m_budget.enqueue(bytes);
    HTTP::asio::steady_timer timer(co_await HTTP::asio::this_coro::executor);
    while (!m_budget.isGranted(ticket) && !stopSignal.reason() && Core::monotonicNow() < deadline) {
        timer.expires_after(pollInterval);
        co_await timer.async_wait(HTTP::useTuple);
    }
    if (m_budget.isGranted(ticket)) {
        m_bytes = bytes;
        co_return true;
    }
    m_budget.cancel(ticket);
    co_return false;
}

bool BodyReservation::growTo(size_t bytes)
{
    if (bytes <= m_bytes)
        return true;
    auto const step = std::max({ bytes - m_bytes, m_bytes, minGrowthBytes });
    if (!m_budget.tryGrow(m_bytes, step))
        return false;
    m_bytes += step;
    return true;
}

}
