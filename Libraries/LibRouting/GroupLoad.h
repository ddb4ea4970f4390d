#pragma once

namespace Comfreysail::Routing {

/// The load of a target group as its home knows it.
struct GroupLoad {
    unsigned slots { 0 };    ///< Requests that the group's usable targets can run concurrently.
    unsigned inFlight { 0 }; ///< Requests that were sent to targets and have not finished.
    unsigned queued { 0 };   ///< Requests queued at the home.

    unsigned demand() const { return inFlight + queued; }

    /// Returns true if another request would have to wait.
    bool isUnderPressure() const { return demand() >= slots; }

    unsigned freeSlots() const { return isUnderPressure() ? 0 : slots - demand(); }

    bool operator==(GroupLoad const&) const = default;
};

}
