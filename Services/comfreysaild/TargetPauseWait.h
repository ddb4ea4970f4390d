#pragma once

#include "EntryRequest.h"
#include "EntryState.h"
#include <optional>
#include <string>
#include <vector>

namespace Comfreysail::Daemon {

/// Returns the pauses of the targets that the request could use, if all of them want no requests now; otherwise none.
std::vector<Traffic::TargetPause> pausesOf(EntryState const&, EntryRequest const&, Core::Instant now);

/// If all targets that the request could use want no requests now, decides whether it waits, and waits. Returns whether
/// it is to be tried again, or std::nullopt if it was refused for another reason.
HTTP::awaitable<std::optional<bool>> waitForTargets(boost::asio::io_context&, EntryState&, EntryRequest&);

/// Counts the targets that a refused request could not use because of what they said, by reason. Returns them as
/// key=value pairs with the age of the oldest statement; empty if there are none.
std::string noteStatedExclusions(EntryState&, std::string const& service, Core::Instant now);

}
