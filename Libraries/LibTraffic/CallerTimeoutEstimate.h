#pragma once

#include <LibCore/Time.h>

namespace Comfreysail::Traffic {

/// Estimates the timeout that the callers of a route start with, from the time that each request has left. A request
/// with less time left is taken to be a retry by its caller.
class CallerTimeoutEstimate {
public:
    /// Adds the time that a request has left. Returns the estimated time that its caller has already waited in earlier
    /// attempts.
    Core::Duration note(Core::Duration left);

private:
    Core::Duration m_limit {};
};

}
