#pragma once

#include "RequestFacts.h"

namespace Comfreysail::Daemon {

/// Returns what the choice of a target depends on, without the targets that were tried before.
Traffic::PlacementRequest placementOf(
    EntryState const&, RequestFacts const&, std::string_view ownZone, Core::Instant now);

/// Returns how many targets of the service are ready, also those that this daemon does not use.
size_t readyTargets(EntryState const&, std::string_view service);

}
