#pragma once

#include <optional>
#include <string_view>

namespace Comfreysail::Traffic {

/// The load that a target reports.
struct TargetLoad {
    unsigned running { 0 };
    unsigned waiting { 0 };
    unsigned slots { 1 };
    double slowness { 1 }; ///< Current service time as a multiple of the typical one.

    bool operator==(TargetLoad const&) const = default;
};

/// Returns how many slots may be in use before the target slows down so much that it completes less than with the last
/// ones free. Targets slow down beyond four fifths of their slots.
unsigned uncrowdedSlots(unsigned slots);

/// Parses "running,waiting,slots" or "running,waiting,slots,percent". Returns nullopt if the text has another form.
std::optional<TargetLoad> parseTargetLoad(std::string_view);

}
