#pragma once

#include <LibAdmission/AdmissionOptions.h>
#include <LibAdmission/Admitted.h>
#include <LibAdmission/Expired.h>
#include <LibAdmission/QueuedRequest.h>
#include <LibAdmission/Ticket.h>
#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <deque>
#include <map>
#include <vector>

namespace Comfreysail::Admission {

/// The queues of one target group at its home. Not thread safe: the owner serializes calls.
class AdmissionQueue {
public:
    explicit AdmissionQueue(AdmissionOptions = {});

    /// Queues a request. Errors: QueueFull, DepartmentOverShare, and DeadlineExceededInQueue when the expected wait
    /// is longer than the time to the deadline.
    Core::Result<Ticket> enqueue(QueuedRequest const&, Core::Instant now);

    /// Takes up to freeCapacity requests out of the queues, in the order in which they are to be sent.
    std::vector<Admitted> dispatch(unsigned freeCapacity, Core::Instant now);

    /// Removes the requests that are refused after they were queued. Call it before each dispatch() and on a timer.
    std::vector<Expired> expire(Core::Instant now);

    /// Ends an admitted request.
    void finish(Ticket, Core::Instant now);

    /// Ends a queued or admitted request whose caller went away.
    void cancel(Ticket, Core::Instant now);

    /// Puts an admitted request back at the head of its department's queue, because no target could take it.
    void putBack(Ticket, Core::Instant now);

    /// How long a request of this class that is queued now is expected to wait.
    Core::Duration expectedWait(RequestClass, Core::Instant now) const;

    size_t queued() const { return m_queue.size(); }
    size_t inFlight() const { return m_inFlight.size(); }

private:
    struct Entry {
        Ticket ticket;
        QueuedRequest request;
    };

    AdmissionOptions m_options;
    uint64_t m_lastTicket { 0 };
    std::deque<Entry> m_queue;
    std::map<Ticket, QueuedRequest> m_inFlight;
};

}
