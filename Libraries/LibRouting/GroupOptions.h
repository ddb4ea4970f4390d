#pragma once

#include <LibCore/Time.h>
#include <LibRouting/DispatchMode.h>
#include <cstdint>

namespace Comfreysail::Routing {

/// Settings of a target group that are fixed at its creation, except that the mode can be switched later.
struct GroupOptions {
    DispatchMode mode { DispatchMode::Home };

    /// Seed of the group's random number generator. Equal seeds and equal calls give equal decisions.
    uint64_t seed { 0 };

    /// How long a home that takes over at run time sends nothing to cold targets, because the previous home may still
    /// be sending to them. May be zero if the daemon starts while no other daemon is live.
    Core::Duration coldHold { std::chrono::seconds(2) };

    bool operator==(GroupOptions const&) const = default;
};

}
