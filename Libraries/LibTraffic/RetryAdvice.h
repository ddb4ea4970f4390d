#pragma once

#include <LibCore/Time.h>
#include <optional>

namespace Comfreysail::Traffic {

/// Returns after which time a refused caller should come back. `untilReturn` is the time until the first target can be
/// used again, if none can be used now; `timeLeft` is what the caller has left, if known. `uniform` in [0, 1) spreads
/// the callers, so that they do not return together. At most a third of the time left, since a caller that waits for
/// longer has no time to be served.
Core::Duration retryAfter(
    std::optional<Core::Duration> untilReturn, std::optional<Core::Duration> timeLeft, double uniform);

}
