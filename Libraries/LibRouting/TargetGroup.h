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
#include <LibRouting/Target.h>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Comfreysail::Routing {

/// The targets of one group and what this daemon knows about them. Not thread safe: the owner serializes calls.
class TargetGroup {
public:
    TargetGroup(GroupKey, std::vector<Target>, GroupOptions, Core::Instant now);

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

    /// Takes the group's availability zone out of service or back in. While it is out no target gets work; after the
    /// return every target starts cold.
    void setAvailabilityZoneIn(bool isIn, Core::Instant now);

    /// Switches between home and fallback. Becoming home starts the hold on cold targets.
    void setMode(DispatchMode, Core::Instant now);

    /// Requests that can be sent now: slots plus requests ahead of usable targets, minus what is in flight there.
    unsigned freeCapacity(Core::Instant now) const;

    /// Slots of usable targets and requests in flight on all targets. `queued` is left 0 for the caller to fill in.
    GroupLoad load(Core::Instant now) const;

private:
    struct TargetState {
        Target target;
        unsigned inFlight { 0 };
        bool isDraining { false };
        bool isRemoved { false };
        bool isExclusive { false };
        bool connectFresh { true };
    };

    unsigned roomOf(TargetState const&, Core::Instant now) const;

    GroupKey m_key;
    GroupOptions m_options;
    bool m_zoneIsIn { true };
    Core::Instant m_homeSince;
    std::mt19937_64 m_generator;
    std::map<std::string, TargetState> m_targets; ///< Ordered, so that decisions do not depend on hashing.
};

}
