#pragma once

#include <LibCore/Time.h>
#include <LibMembership/Overlay.h>
#include <functional>
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
    /// Ring positions to send to, of a member at `self` among `count` in name order.
    std::function<std::vector<size_t>(size_t self, size_t count)> neighbours { overlayPeers };
    std::vector<std::string> seeds; ///< "address:port" of the message ports to join through.
};

}
