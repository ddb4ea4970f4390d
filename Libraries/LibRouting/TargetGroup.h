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

/// The targets of one group and what this daemon knows about them. Not thread safe: the owner serializes calls.
class TargetGroup {
public:
    TargetGroup(GroupKey, std::vector<Target> const&, GroupOptions, Core::Instant now);

    GroupKey const& key() const { return m_key; }
    DispatchMode mode() const { return m_options.mode; }

    /// Selects a target and counts the send. Every successful pick is followed by exactly one noteFinished().
    /// Errors: NoTargetAvailable when no usable target has room; the request stays queued or is refused.
    Core::Result<Pick> pick(PickRequest const&, Core::Instant now);

    /// Ends a send that pick() counted.
    void noteFinished(std::string const& target, SendOutcome, Core::Instant sentAt, LoadHint, Core::Instant now);

    /// Replaces the list. Targets that stay keep their state; new ones and ones with another address, port or version
    /// start cold; removed ones get no new work.
    void replaceTargets(std::vector<Target>, Core::Instant now);

    /// The target gets no new work until replaceTargets() lists it with another address, port or version.
    void markDraining(std::string const& target, Core::Instant now);

    /// The targets that replaceTargets() listed last, in name order.
    std::vector<Target> targets() const;

    /// Takes the group's availability zone out of service or back in. While it is out no target gets work; after the
    /// return every target starts cold.
    void setAvailabilityZoneIn(bool isIn, Core::Instant now);

    /// Switches between home and fallback. Becoming home starts the hold on cold targets.
    void setMode(DispatchMode, Core::Instant now);

    /// Learns from an answer that another daemon dispatched and that passed through this daemon, so that a daemon that
    /// has to take over knows which targets are warm. Costs no message of its own.
    void observe(std::string const& target, TargetState, Core::Instant now);

    /// What this daemon would tell others about a target; nullopt for a target that it does not know.
    std::optional<TargetState> stateOf(std::string const& target, Core::Instant now) const;

    /// True when the target is avoided because it is slow, fails, or says that it drains.
    bool isSuspect(std::string const& target, Core::Instant now) const;

    /// Requests that can be sent now: slots plus requests ahead of usable targets, minus what is in flight there.
    unsigned freeCapacity(Core::Instant now) const;

    /// Slots of usable targets and requests in flight on all targets. `queued` is left 0 for the caller to fill in.
    GroupLoad load(Core::Instant now) const;

private:
    /// A target as it stands at one moment.
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
    bool isHolding(Core::Instant now) const;
    Assessment const* pickShortestQueue(std::vector<Assessment> const&, uint8_t costClass);
    Assessment const* pickPowerOfTwo(std::vector<Assessment> const&);

    GroupKey m_key;
    GroupOptions m_options;
    bool m_zoneIsIn { true };
    Core::Instant m_homeSince;
    std::mt19937_64 m_generator;
    ServiceTimes m_serviceTimes;
    mutable std::map<std::string, TargetRecord> m_targets; ///< Ordered, so that decisions do not depend on hashing.
};

}
