#include <LibAdmission/AdmissionQueue.h>

namespace Comfreysail::Admission {

AdmissionQueue::AdmissionQueue(AdmissionOptions options)
    : m_options(options)
{
}

Core::Result<Ticket> AdmissionQueue::enqueue(QueuedRequest const& request, Core::Instant)
{
    if (m_queue.size() >= m_options.queueLimit)
        return Core::Error { Core::ErrorKind::QueueFull, "the queue limit is reached" };
    Ticket const ticket { ++m_lastTicket };
    m_queue.push_back({ ticket, request });
    return ticket;
}

std::vector<Admitted> AdmissionQueue::dispatch(unsigned freeCapacity, Core::Instant)
{
    std::vector<Admitted> admitted;
    while (!m_queue.empty() && admitted.size() < freeCapacity) {
        auto const& entry = m_queue.front();
        admitted.push_back({ entry.ticket, entry.request.id });
        m_inFlight.emplace(entry.ticket, entry.request);
        m_queue.pop_front();
    }
    return admitted;
}

std::vector<Expired> AdmissionQueue::expire(Core::Instant now)
{
    std::vector<Expired> expired;
    std::erase_if(m_queue, [&](Entry const& entry) {
        if (entry.request.deadline > now)
            return false;
        expired.push_back({ entry.ticket, entry.request.id });
        return true;
    });
    return expired;
}

void AdmissionQueue::finish(Ticket ticket, Core::Instant) { m_inFlight.erase(ticket); }

void AdmissionQueue::cancel(Ticket ticket, Core::Instant)
{
    m_inFlight.erase(ticket);
    std::erase_if(m_queue, [&](Entry const& entry) { return entry.ticket == ticket; });
}

void AdmissionQueue::putBack(Ticket ticket, Core::Instant)
{
    auto node = m_inFlight.extract(ticket);
    if (!node.empty())
        m_queue.push_front({ ticket, std::move(node.mapped()) });
}

Core::Duration AdmissionQueue::expectedWait(RequestClass, Core::Instant) const { return Core::Duration::zero(); }

}
