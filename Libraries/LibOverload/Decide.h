#pragma once

#include <LibOverload/Decision.h>
#include <LibOverload/DecisionInput.h>
#include <LibOverload/OverloadOptions.h>
#include <LibTraffic/Placement.h>
#include <string>

namespace Comfreysail::Overload {

/// Returns true if the request can no longer be on time.
bool isLate(DecisionInput const&);

/// Returns the share of targets with a free slot from which on this request is sent; 0 if it may take the last one. It
/// depends on the request's draw, so that of requests of one kind a part is sent that grows with the share.
///
/// Load: a burst of an urgent kind beside steady work of a less urgent one.
double requiredShare(DecisionInput const&, OverloadOptions const&);

/// Limits the targets that may get the request while its service is short; changes nothing otherwise.
///
/// Loads: a burst of the most urgent kind itself, where most requests were refused before: those that can still be on
/// time go first, and those that were refused before come next. A shortage that lasts: targets that are slow, or all of
/// whose slots are in use, complete less for the same slots.
void limitPlacement(
    DecisionInput const&, OverloadOptions const&, Traffic::PlacementRequest&, Traffic::PlacementOptions&);

/// Decides about a request of a service with several ranks, or with departments. Always sends if the service is not
/// short and a target was found.
///
/// Load: any shortage. A request that is likely to find room soon is held, and another one is refused at once, while
/// its caller has time to return.
Decision decide(DecisionInput const&, OverloadOptions const&);

/// Returns after which time a refused caller should come back. `uniform` in [0, 1) spreads the callers.
///
/// Load: a shortage of some seconds, at whose end all refused callers would come back together.
Core::Duration retryAfter(DecisionInput const&, OverloadOptions const&, double uniform);

/// Returns inputs and result as key=value pairs.
std::string describe(DecisionInput const&, Decision const&);

}
