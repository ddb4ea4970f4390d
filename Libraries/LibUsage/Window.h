#pragma once

#include <LibUsage/UsageOptions.h>
#include <cstdint>

namespace Comfreysail::Usage {

/// Number of a window: the window k begins k times its length after the Unix epoch.
using WindowId = int64_t;

/// `trueTime` is the time since the Unix epoch.
inline WindowId windowAt(UsageOptions const& options, Core::Duration trueTime)
{
    auto const window = trueTime / options.window;
    return trueTime < window * options.window ? window - 1 : window;
}

inline Core::Duration endOf(UsageOptions const& options, WindowId window) { return (window + 1) * options.window; }

/// Returns true if a report of the window can no longer arrive in time.
inline bool isExpired(UsageOptions const& options, WindowId window, Core::Duration trueTime)
{
    return trueTime >= endOf(options, window) + options.due - options.dueReserve;
}

}
