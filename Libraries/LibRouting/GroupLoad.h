#pragma once

namespace Comfreysail::Routing {

/// The load of one target group, as its home knows it.
struct GroupLoad {
    unsigned slots { 0 };    ///< Requests that the group's usable targets can run at the same time.
    unsigned inFlight { 0 }; ///< Requests sent to targets and not finished.
    unsigned queued { 0 };   ///< Requests that wait at the home.

    unsigned demand() const { return inFlight + queued; }

    /// True when a further request would have to wait.
    bool isUnderPressure() const { return demand() >= slots; }

    unsigned freeSlots() const { return isUnderPressure() ? 0 : slots - demand(); }

    bool operator==(GroupLoad const&) const = default;
};

}
