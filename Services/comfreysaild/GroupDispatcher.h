#pragma once

#include "RequestContext.h"
#include <LibAdmission/Admission.h>
#include <LibHTTP/HTTP.h>
#include <LibRouting/Routing.h>
#include <map>
#include <mutex>
#include <unordered_map>

namespace Comfreysail::Daemon {

/// A request that was admitted and has a target. Ended by GroupDispatcher::finish().
struct Dispatched {
    Admission::Ticket ticket;
    Routing::Pick pick;
    HTTP::Endpoint endpoint;
    Core::Instant sentAt;
    bool isSendOpen { true }; ///< The group has not been told yet how the send ended.
};

/// The queue and the targets of one group, and the requests that wait for them. Thread safe. Waiting requests are
/// resumed on their own strands; no lock is held while one waits.
class GroupDispatcher : public std::enable_shared_from_this<GroupDispatcher> {
public:
    GroupDispatcher(Routing::GroupKey, std::vector<Routing::Target>, Routing::GroupOptions, Admission::AdmissionOptions,
        Core::Instant now);

    Routing::GroupKey const& key() const { return m_key; }

    /// Waits until the request has a target. Errors: those of AdmissionQueue::enqueue(), DeadlineExceededInQueue,
    /// NoTargetAvailable, CallerGone.
    HTTP::awaitable<Core::Result<Dispatched>> admit(RequestContext&, Routing::PickRequest);

    /// Selects another target for an admitted request whose send ended. Error: NoTargetAvailable.
    Core::Result<Dispatched> pickAgain(Dispatched const&, Routing::PickRequest const&, Core::Instant now);

    /// Reports how a send ended; only the first report counts. The request stays admitted.
    void noteSendEnded(Dispatched&, Routing::SendOutcome, Routing::LoadHint, Core::Instant now);

    /// Ends an admitted request and lets the next ones go.
    void finish(Dispatched const&, Core::Instant now);

    /// Learns from an answer that another daemon dispatched.
    void observe(std::string const& target, Routing::TargetState, Core::Instant now);

    void replaceTargets(std::vector<Routing::Target>, Core::Instant now);
    void setMode(Routing::DispatchMode, Core::Instant now);
    /// Taking the zone out refuses the requests that wait (NoTargetAvailable).
    void setAvailabilityZoneIn(bool isIn, Core::Instant now);

    /// The groups of the service in other availability zones, to which requests may be spilled.
    void setSiblings(std::vector<Routing::GroupKey>);
    void noteSiblingLoad(Routing::GroupKey const&, Routing::GroupLoad, Core::Instant now);

    /// The sibling that the next request is to go to, when this daemon is the home and under load pressure. Every
    /// spill ends with noteSpillFinished().
    std::optional<Routing::GroupKey> chooseSpill(Core::Instant now);
    void noteSpillFinished(Routing::GroupKey const&, Core::Instant sentAt);

    /// Refuses requests that waited too long and sends those for which there is room by now.
    void tick(Core::Instant now);

    Routing::GroupLoad load(Core::Instant now) const;

private:
    struct Waiter;

    void dispatch(Core::Instant now);
    Routing::GroupLoad currentLoad(Core::Instant now) const;
    HTTP::Endpoint endpointOf(std::string const& target) const;
    void resolve(uint64_t id, Core::Result<Dispatched>);

    Routing::GroupKey const m_key;
    mutable std::mutex m_mutex; ///< Guards everything below: lock levels "group" and "admission queue" of design.md.
    Routing::TargetGroup m_group;
    Admission::AdmissionQueue m_queue;
    std::unordered_map<uint64_t, std::shared_ptr<Waiter>> m_waiters;
    std::map<std::string, HTTP::Endpoint> m_endpoints; ///< Removed targets stay until their sends have ended.
    Routing::SpillSelector m_spill;
    std::vector<Routing::GroupKey> m_siblings;
    uint64_t m_lastId { 0 };
    bool m_isIn { true };
};

}
