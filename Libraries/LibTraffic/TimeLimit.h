#pragma once

#include <LibCore/Time.h>

namespace Comfreysail::Traffic {

/// Learns the time limit with which the callers of a route begin, from the time that each request has left. A request
/// with less left was tried before.
class TimeLimit {
public:
    /// Returns how long the caller has waited in earlier tries.
    Core::Duration note(Core::Duration left);

private:
    Core::Duration m_limit {};
};

}
