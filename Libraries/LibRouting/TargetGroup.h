#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibRouting/GroupKey.h>
#include <LibRouting/GroupLoad.h>
#include <LibRouting/GroupOptions.h>
#include <LibRouting/LoadHint.h>
#include <LibRouting/Pick.h>
#include <LibRouting/PickRequest.h>
#include <LibRouting/SendOutcome.h>
#include <LibRouting/ServiceTimes.h>
#include <LibRouting/Target.h>
#include <LibRouting/TargetRecord.h>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Comfreysail::Routing {

/// The targets of one group and this daemon's state for each of them. Not thread-safe: the owner serializes calls.
class TargetGroup {
public:
    TargetGroup(GroupKey, std::vector<Target> const&, GroupOptions, Core::Instant now);

    GroupKey const& key() const { return m_key; }
    DispatchMode mode() const { return m_options.mode; }

    /// Selects a target and counts the send. For every successful pick the caller must call noteFinished() exactly
    /// once. Errors: NoTargetAvailable if no usable target has room. The caller then keeps the request queued or
    /// refuses it.
    Core::Result<Pick> pick(PickRequest const&, Core::Instant now);

    /// Ends a send that pick() counted.
    void noteFinished(std::string const& target, SendOutcome, Core::Instant sentAt, LoadHint, Core::Instant now);

    /// Replaces the list of targets. Targets that stay keep their state; new targets and targets with another address,
    /// port or version start cold; removed targets get no new requests.
    void replaceTargets(std::vector<Target>, Core::Instant now);

    /// Marks a target as draining: it gets no new requests until replaceTargets() lists it with another address, port
    /// or version.
    void markDraining(std::string const& target, Core::Instant now);

    /// Returns the targets of the last replaceTargets() call, in name order.
    std::vector<Target> targets() const;

    /// Takes the group's availability zone out of service or back in. While it is out, no target gets requests; when it
    /// returns, every target starts cold.
    void setAvailabilityZoneInService(bool isInService, Core::Instant now);

    /// Switches between home and fallback. A daemon that becomes the home starts the hold on cold targets
    /// (GroupOptions::coldHold).
    void setMode(DispatchMode, Core::Instant now);

    /// Updates a target's state from a response that another daemon dispatched and that passed through this daemon. A
    /// daemon that has to take over thus knows which targets are warm, without extra messages.
    void observe(std::string const& target, TargetState, Core::Instant now);

    /// Returns the state of a target for reports to other daemons; nullopt if this daemon does not know it.
    std::optional<TargetState> stateOf(std::string const& target, Core::Instant now) const;

    /// Returns true if the target is avoided because it is slow, fails, or reports that it is draining.
    bool isSuspect(std::string const& target, Core::Instant now) const;

    /// Returns the number of requests that can be sent now: the limits of the usable targets, including the requests
    /// sent ahead for each slot, minus the requests in flight there.
    unsigned freeCapacity(Core::Instant now) const;

    /// Returns the slots of the usable targets and the requests in flight on all targets. `queued` is 0; the caller
    /// fills it in.
    GroupLoad load(Core::Instant now) const;

private:
    /// Snapshot of a target's condition.
    struct Assessment {
        TargetRecord* record { nullptr };
        double slowness { 1 };
        bool isSlow { false };
        bool isFailing { false };
        bool isSuspect { false };
        unsigned limit { 0 };

        unsigned room() const { return limit > record->inFlight() ? limit - record->inFlight() : 0; }
    };

    std::vector<Assessment> assess(Core::Instant now) const;
    void markSuspects(std::vector<Assessment>&, Core::Instant now) const;
    unsigned limitOf(Assessment const&, bool hasWarm, bool hasUnknown, Core::Instant now) const;
    bool isUsable(TargetRecord const&) const;
    bool isInColdHold(Core::Instant now) const;
    Assessment const* pickShortestQueue(std::vector<Assessment> const&, uint8_t costClass);
    Assessment const* pickPowerOfTwo(std::vector<Assessment> const&);

    GroupKey m_key;
    GroupOptions m_options;
    bool m_isZoneInService { true };
    Core::Instant m_homeSince;
    std::mt19937_64 m_generator;
    ServiceTimes m_serviceTimes;
    mutable std::map<std::string, TargetRecord> m_targets; ///< Ordered, so that decisions do not depend on hash order.
};

}
