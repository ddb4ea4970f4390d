#pragma once

#include <LibCore/Time.h>
#include <string>
#include <vector>

namespace Comfreysail::Membership {

/// docs/notes/membership.md gives the measurements behind the defaults.
struct MembershipOptions {
    Core::Duration heartbeatInterval { std::chrono::milliseconds(500) };
    Core::Duration suspectAfter { std::chrono::seconds(2) };
    Core::Duration pauseGap { std::chrono::seconds(1) }; ///< A longer gap between ticks is a pause.
    Core::Duration isolatedAfter { std::chrono::seconds(3) };
    Core::Duration forgetAfter { std::chrono::seconds(60) }; ///< The majority stops counting a silent member.
    Core::Duration tombstoneFor { std::chrono::hours(1) };   ///< A member that left cannot come back by old messages.
    std::vector<std::string> seeds;                          ///< "address:port" of the message ports to join through.
};

}
