#pragma once

#include "DaemonServices.h"
#include "RequestContext.h"

namespace Comfreysail::Daemon {

/// Where a request is to be sent.
struct GroupChoice {
    ChosenGroup group;
    VersionChoice version;
    std::shared_ptr<GroupDispatcher> dispatcher;
    std::optional<PeerMember> home; ///< The daemon to forward to, or nothing when this daemon sends to the targets.
};

/// Chooses version, availability zone and shard. The own zone is preferred, because a hop to another zone costs time;
/// without targets there, zones get requests in proportion to their slots. Zones that failed the request are left out.
/// Error: NoTargetAvailable.
Core::Result<GroupChoice> chooseGroup(DaemonServices&, RequestContext const&);

/// The choice for another group of the same service, for a request that is spilled. Nothing when the group has no
/// target of the chosen version.
std::optional<GroupChoice> spillChoice(
    DaemonServices&, RequestContext const&, GroupChoice const&, Routing::GroupKey const&);

/// What a target must offer to get this request.
Routing::PickRequest pickRequestFor(DaemonServices&, RequestContext const&, GroupChoice const&, Core::Instant now);

}
