#pragma once

#include "DaemonServices.h"
#include "RequestContext.h"

namespace Comfreysail::Daemon {

/// The target group and version that a request is sent to.
struct GroupChoice {
    ChosenGroup group;
    VersionChoice version;
    std::shared_ptr<GroupDispatcher> dispatcher;
    std::optional<PeerMember> home; ///< The daemon to forward to; nullopt if this daemon sends to the targets itself.
};

/// Chooses version, availability zone and shard. The daemon's own zone is preferred, because a hop to another zone
/// costs time; if it has no targets, a zone is chosen at random in proportion to its slots. Zones in which the request
/// failed are excluded. Error: NoTargetAvailable.
Core::Result<GroupChoice> chooseGroup(DaemonServices&, RequestContext const&);

/// Returns the choice for a request that is spilled to another group of the same service, or nullopt if that group has
/// no target of the chosen version.
std::optional<GroupChoice> chooseSpillGroup(
    DaemonServices&, RequestContext const&, GroupChoice const&, Routing::GroupKey const&);

/// Returns the conditions that a target must meet to get this request.
Routing::PickRequest pickRequestFor(DaemonServices&, RequestContext const&, GroupChoice const&, Core::Instant now);

}
