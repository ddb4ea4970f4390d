#pragma once

#include "RequestFacts.h"

namespace Comfreysail::Daemon {

/// Records a request that arrived for its service.
void noteArrival(EntryState&, EntryRequest const&, Core::Instant now);

/// Collects what the decision about a request under shortage depends on. Returns std::nullopt if its service is served
/// without regard to ranks: shedding is switched off, or all routes of the service have one rank and the request has no
/// department.
std::optional<Overload::DecisionInput> overloadInputOf(EntryState&, EntryRequest const&, Core::Instant now);

/// The same without a change of the state, for a request that is not sent. `ranks` are those of the plan in force.
std::optional<Overload::DecisionInput> overloadInputOf(
    OverloadState const&, Overload::ServiceRanks const& ranks, RequestFacts const&, Core::Instant now);

/// Records the time of a response for the estimates of its route.
void noteServiceTime(EntryState&, EntryRequest const&, Core::Duration);

}
