#pragma once

#include <LibCore/Time.h>
#include <LibRouting/DispatchMode.h>
#include <cstdint>

namespace Comfreysail::Routing {

/// Settings of a target group that do not change during its life.
struct GroupOptions {
    DispatchMode mode { DispatchMode::Home };

    /// Seed of the group's generator. Equal seeds and calls give equal decisions.
    uint64_t seed { 0 };

    /// A home that takes over at run time sends nothing to cold targets for this long, because the previous home may
    /// still be sending. At daemon start with no other live daemon it may be zero.
    Core::Duration coldHold { std::chrono::seconds(2) };

    bool operator==(GroupOptions const&) const = default;
};

}
