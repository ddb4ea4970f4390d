#pragma once

#include <LibCore/Time.h>
#include <LibMembership/Overlay.h>
#include <functional>
#include <string>
#include <vector>

namespace Comfreysail::Membership {

/// docs/notes/membership.md explains the defaults.
struct MembershipOptions {
    Core::Duration heartbeatInterval { std::chrono::milliseconds(500) };
    /// A member without a new beat for this long is suspected to be down.
    Core::Duration suspectAfter { std::chrono::seconds(2) };
    /// A longer gap between ticks means that this daemon was paused.
    Core::Duration pauseGap { std::chrono::seconds(1) };
    /// Without contact to the store or to a majority of the members for this long, this daemon is isolated.
    Core::Duration isolatedAfter { std::chrono::seconds(3) };
    /// The majority marks a member without a new beat for this long as left.
    Core::Duration removeAfter { std::chrono::seconds(60) };
    /// How long a member that left is remembered, so that delayed messages cannot bring it back.
    Core::Duration tombstoneRetention { std::chrono::hours(1) };
    /// Returns the ring positions that the member at position `self` of `count` (in name order) sends to.
    std::function<std::vector<size_t>(size_t self, size_t count)> neighbours { overlayPeers };
    std::vector<std::string> seeds; ///< Message ports to contact when joining, as "address:port".
};

}
