#pragma once

#include <LibAdmission/AdmissionOptions.h>
#include <LibAdmission/Admitted.h>
#include <LibAdmission/DepartmentUsage.h>
#include <LibAdmission/DrainRate.h>
#include <LibAdmission/Expired.h>
#include <LibAdmission/FairQueue.h>
#include <LibAdmission/QueuedRequest.h>
#include <LibAdmission/Ticket.h>
#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Comfreysail::Admission {

/// The queues of one target group at its home. Not thread safe: the owner serializes calls.
class AdmissionQueue {
public:
    explicit AdmissionQueue(AdmissionOptions = {});

    /// Queues a request. Errors: QueueFull, DepartmentOverShare, and DeadlineExceededInQueue when the expected wait
    /// is longer than the time to the deadline. All three cost no more than a few map look-ups.
    Core::Result<Ticket> enqueue(QueuedRequest const&, Core::Instant now);

    /// Takes up to freeCapacity requests out of the queues, in the order in which they are to be sent.
    std::vector<Admitted> dispatch(unsigned freeCapacity, Core::Instant now);

    /// Removes the requests that are refused after they were queued: their deadline passed, or their place went to a
    /// department below its share. Call it before each dispatch() and on a timer.
    std::vector<Expired> expire(Core::Instant now);

    /// Ends an admitted request.
    void finish(Ticket, Core::Instant now);

    /// Ends a queued or admitted request whose caller went away or that was spilled to another home.
    void cancel(Ticket, Core::Instant now);

    bool hasSpillable() const;

    /// Takes the waiting request that has waited longest and may be spilled to another home; nullopt when there is
    /// none. It counts as neither queued nor in flight any more.
    std::optional<Admitted> takeForSpill(Core::Instant now);

    /// Puts an admitted request back at the head of its department's queue, because no target could take it.
    void putBack(Ticket, Core::Instant now);

    /// How long a request of this class that is queued now is expected to wait, over all departments.
    Core::Duration expectedWait(RequestClass) const;

    /// The same for one department of this weight.
    Core::Duration expectedWait(RequestClass, std::string const& department, unsigned weight) const;

    /// Requests of the class that are sent before one that the department queues now. A home compares this, and not the
    /// whole queue, with its siblings' load: a department below its share hardly waits behind one above it.
    size_t placesAhead(RequestClass, std::string const& department, unsigned weight) const;

    size_t queued() const;
    size_t inFlight() const { return m_inFlight.size(); }

private:
    /// Sums over the active departments.
    struct Shares {
        unsigned weight { 0 };
        double meanInFlight { 0 };
    };

    DepartmentUsage& usageOf(QueuedRequest const&);
    FairQueue& queueOf(RequestClass requestClass) { return m_queues[static_cast<size_t>(requestClass)]; }
    FairQueue const& queueOf(RequestClass requestClass) const { return m_queues[static_cast<size_t>(requestClass)]; }
    std::string const* mostOverShare(unsigned activeWeight) const;
    void evictNewestOf(std::string const& department);
    Core::Duration waitFor(size_t places) const;
    void forgetQueued(WaitingRequest const&);
    Shares sharesAt(Core::Instant now) const;
    bool isOverShare(DepartmentUsage const&, size_t shared, Shares const&, Core::Instant now) const;
    std::vector<FairQueue*> queuesByUse(size_t capacity);
    std::optional<WaitingRequest> takeNext(size_t capacity, Shares const&, Core::Instant now);
    void forgetIdleDepartments(Core::Instant now);

    AdmissionOptions m_options;
    uint64_t m_lastTicket { 0 };
    std::array<FairQueue, requestClassCount> m_queues;
    std::array<size_t, requestClassCount> m_classInFlight {};
    std::map<std::string, DepartmentUsage> m_departments;
    std::map<Ticket, QueuedRequest> m_waiting;
    std::map<Ticket, QueuedRequest> m_inFlight;
    std::set<std::pair<Core::Instant, Ticket>> m_deadlines; ///< Of the waiting requests.
    std::vector<Expired> m_evicted;
    DrainRate m_drainRate;
};

}
