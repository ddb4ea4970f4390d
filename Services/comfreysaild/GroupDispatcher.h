#pragma once

#include "RequestContext.h"
#include <LibAdmission/Admission.h>
#include <LibHTTP/HTTP.h>
#include <LibRouting/Routing.h>
#include <map>
#include <mutex>
#include <unordered_map>

namespace Comfreysail::Daemon {

/// An admitted request and the target selected for it. GroupDispatcher::finish() must be called when the request ends.
struct DispatchedRequest {
    Admission::Ticket ticket;
    Routing::Pick pick;
    HTTP::Endpoint endpoint;
    Core::Instant sentAt;
    bool isSendInFlight { true }; ///< Cleared when noteSendEnded() has reported how the send ended.
};

/// The admission queue, the targets and the waiting requests of one target group. Thread safe. Each waiting request is
/// resumed on its own strand; no lock is held while it waits.
class GroupDispatcher : public std::enable_shared_from_this<GroupDispatcher> {
public:
    GroupDispatcher(Routing::GroupKey, std::vector<Routing::Target> const&, Routing::GroupOptions,
        Admission::AdmissionOptions, Core::Instant now);

    Routing::GroupKey const& key() const { return m_key; }

    /// Queues the request until it has a target. Errors: those of AdmissionQueue::enqueue(), DeadlineExceededInQueue,
    /// NoTargetAvailable, CallerGone.
    HTTP::awaitable<Core::Result<DispatchedRequest>> admit(RequestContext&, Routing::PickRequest);

    /// Selects another target for an admitted request whose send ended. Error: NoTargetAvailable.
    Core::Result<DispatchedRequest> pickAgain(DispatchedRequest const&, Routing::PickRequest const&, Core::Instant now);

    /// Reports how a send ended; only the first report counts. The request stays admitted.
    void noteSendEnded(DispatchedRequest&, Routing::SendOutcome, Routing::LoadHint, Core::Instant now);

    /// Ends an admitted request and dispatches queued requests for which there is capacity now.
    void finish(DispatchedRequest const&, Core::Instant now);

    /// Records a target's state from a response to a request that another daemon dispatched, so that this daemon knows
    /// which targets are warm if it becomes the home.
    void observe(std::string const& target, Routing::TargetState, Core::Instant now);

    void replaceTargets(std::vector<Routing::Target>, Core::Instant now);
    void setMode(Routing::DispatchMode, Core::Instant now);
    /// Takes the availability zone into or out of service. Taking it out refuses the waiting requests
    /// (NoTargetAvailable).
    void setAvailabilityZoneInService(bool isInService, Core::Instant now);

    /// The groups of the service in other availability zones, to which requests may be spilled.
    void setSiblings(std::vector<Routing::GroupKey>);
    void noteSiblingLoad(Routing::GroupKey const&, Routing::GroupLoad, Core::Instant now);

    /// Returns the sibling group to which the next request should be spilled, or nullopt if it should stay here. Only
    /// a home that is under load spills. Call noteSpillFinished() after each spill.
    std::optional<Routing::GroupKey> chooseSpillSibling(Core::Instant now);
    void noteSpillFinished(Routing::GroupKey const&, Core::Instant sentAt);

    /// Refuses requests whose queue deadline has passed and dispatches those for which there is capacity.
    void tick(Core::Instant now);

    Routing::GroupLoad load(Core::Instant now) const;

private:
    struct Waiter;

    void dispatch(Core::Instant now);
    Routing::GroupLoad currentLoad(Core::Instant now) const;
    HTTP::Endpoint endpointOf(std::string const& target) const;
    void completeWaiter(uint64_t id, Core::Result<DispatchedRequest>);

    Routing::GroupKey const m_key;
    mutable std::mutex m_mutex; ///< Guards all members below. Lock levels "group" and "admission queue" of design.md.
    Routing::TargetGroup m_group;
    Admission::AdmissionQueue m_queue;
    std::unordered_map<uint64_t, std::shared_ptr<Waiter>> m_waiters;
    std::map<std::string, HTTP::Endpoint> m_endpoints; ///< Of the current targets, by name.
    Routing::SpillSelector m_spill;
    std::vector<Routing::GroupKey> m_siblings;
    uint64_t m_lastId { 0 };
    bool m_isZoneInService { true };
};

}
