#pragma once

#include <LibCore/Time.h>

namespace Comfreysail::Traffic {

/// Estimates the longest timeout that the callers of a route start with, from the time that each request has left. Not
/// all callers start with the same timeout, so only a request with clearly less time left is taken to be a retry by its
/// caller.
class CallerTimeoutEstimate {
public:
    /// Adds the time that a request has left. Returns the estimated time that its caller has already waited in earlier
    /// attempts; 0 if the request may be a new one.
    Core::Duration note(Core::Duration left);

private:
    Core::Duration m_limit {}; ///< The longest timeout.
};

}
