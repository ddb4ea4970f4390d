#include <LibTraffic/BodyBudget.h>

#include <algorithm>

namespace Comfreysail::Traffic {

BodyBudget::BodyBudget(BodyBudgetOptions options)
    : m_options(options)
{
}

bool BodyBudget::fits(size_t total, size_t bytes) const
{
    auto const capacity = m_options.capacityBytes;
    if (total <= m_options.smallBodyBytes)
        return m_used + bytes <= capacity;
    auto const forSmall = static_cast<size_t>(m_options.fractionForSmallBodies * static_cast<double>(capacity));
    auto const forLarge = capacity - forSmall;
    // Otherwise a body that is larger than the capacity could never be received.
    bool const isAlone = m_used + bytes <= forSmall + total;
    return m_used + bytes <= forLarge || (total > forLarge && isAlone);
}

bool BodyBudget::tryReserve(size_t bytes)
{
    bool const mayOvertake = bytes <= m_options.smallBodyBytes;
    if ((!mayOvertake && !m_waiting.empty()) || !fits(bytes, bytes))
        return false;
    m_used += bytes;
    return true;
}

bool BodyBudget::tryGrow(size_t held, size_t bytes)
{
    if (!fits(held + bytes, bytes))
        return false;
    m_used += bytes;
    return true;
}

void BodyBudget::release(size_t bytes)
{
    m_used -= std::min(bytes, m_used);
    grantWaiting();
}

BodyBudget::Ticket BodyBudget::enqueue(size_t bytes)
{
    m_waiting.push_back({ ++m_lastTicket, bytes });
    grantWaiting();
    return m_lastTicket;
}

bool BodyBudget::isGranted(Ticket ticket) const
{
    return std::ranges::find(m_waiting, ticket, &Waiting::ticket) == m_waiting.end();
}

void BodyBudget::cancel(Ticket ticket)
{
    std::erase_if(m_waiting, [ticket](auto const& waiting) { return waiting.ticket == ticket; });
    grantWaiting();
}

void BodyBudget::grantWaiting()
{
    while (!m_waiting.empty() && fits(m_waiting.front().bytes, m_waiting.front().bytes)) {
        m_used += m_waiting.front().bytes;
        m_waiting.pop_front();
    }
}

}
