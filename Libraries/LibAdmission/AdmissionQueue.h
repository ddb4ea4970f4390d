#pragma once

#include <LibAdmission/AdmissionOptions.h>
#include <LibAdmission/Admitted.h>
#include <LibAdmission/DepartmentUsage.h>
#include <LibAdmission/DrainRate.h>
#include <LibAdmission/FairQueue.h>
#include <LibAdmission/QueuedRequest.h>
#include <LibAdmission/RefusedRequest.h>
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

/// The queues of one target group at its home. Not thread-safe: the owner serializes calls.
class AdmissionQueue {
public:
    explicit AdmissionQueue(AdmissionOptions = {});

    /// Queues a request. Errors: QueueFull, DepartmentOverShare, and DeadlineExceededInQueue if the expected wait is
    /// longer than the time to the deadline. Refusing a request costs no more than a few map lookups.
    Core::Result<Ticket> enqueue(QueuedRequest const&, Core::Instant now);

    /// Takes up to freeCapacity requests out of the queues and returns them in the order in which to send them.
    std::vector<Admitted> dispatch(unsigned freeCapacity, Core::Instant now);

    /// Removes and returns the queued requests that are refused, because their deadline passed or their place went to a
    /// department below its share. Call it before each dispatch() and on a timer.
    std::vector<RefusedRequest> takeRefused(Core::Instant now);

    /// Records that an admitted request has finished.
    void finish(Ticket, Core::Instant now);

    /// Removes a queued or admitted request whose caller disconnected or that was spilled to another home.
    void cancel(Ticket, Core::Instant now);

    bool hasSpillable() const;

    /// Takes the oldest queued request that may be spilled to another home; nullopt if there is none. The request then
    /// counts as neither queued nor in flight.
    std::optional<Admitted> takeForSpill(Core::Instant now);

    /// Puts an admitted request that no target could take back to the head of its department's queue.
    void putBack(Ticket, Core::Instant now);

    /// Returns how long a request of this class that is queued now is expected to wait, over all departments.
    Core::Duration expectedWait(RequestClass) const;

    /// Returns the expected wait for one department with this weight.
    Core::Duration expectedWait(RequestClass, std::string const& department, unsigned weight) const;

    /// Returns the number of requests of the class that are sent before one that the department queues now. A home
    /// compares this number, instead of the length of the whole queue, with the load of its siblings, because a
    /// department below its share hardly waits for one above its share.
    size_t requestsAhead(RequestClass, std::string const& department, unsigned weight) const;

    size_t queued() const;
    size_t inFlight() const { return m_inFlight.size(); }

private:
    /// Totals over the active departments.
    struct ActiveTotals {
        unsigned weight { 0 };
        double meanInFlight { 0 };
    };

    DepartmentUsage& usageOf(QueuedRequest const&);
    FairQueue& queueOf(RequestClass requestClass) { return m_queues[static_cast<size_t>(requestClass)]; }
    FairQueue const& queueOf(RequestClass requestClass) const { return m_queues[static_cast<size_t>(requestClass)]; }
    std::string const* departmentMostOverShare(unsigned activeWeight) const;
    void evictNewestOf(std::string const& department);
    Core::Duration waitFor(size_t places) const;
    void removeQueued(WaitingRequest const&);
    ActiveTotals activeTotalsAt(Core::Instant now) const;
    bool isOverShare(DepartmentUsage const&, size_t sharedCapacity, ActiveTotals const&, Core::Instant now) const;
    std::vector<FairQueue*> queuesByUse(size_t capacity);
    std::optional<WaitingRequest> takeNext(size_t capacity, ActiveTotals const&, Core::Instant now);
    void removeIdleDepartments(Core::Instant now);

    AdmissionOptions m_options;
    uint64_t m_lastTicket { 0 };
    std::array<FairQueue, requestClassCount> m_queues;
    std::array<size_t, requestClassCount> m_classInFlight {};
    std::map<std::string, DepartmentUsage> m_departments;
    std::map<Ticket, QueuedRequest> m_waiting;
    std::map<Ticket, QueuedRequest> m_inFlight;
    std::set<std::pair<Core::Instant, Ticket>> m_deadlines; ///< Deadlines of the queued requests.
    std::vector<RefusedRequest> m_evicted;
    DrainRate m_drainRate;
};

}
