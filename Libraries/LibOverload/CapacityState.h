#pragma once

#include <LibCore/Time.h>

namespace Comfreysail::Overload {

/// What is known of a service's spare capacity at one moment.
struct CapacityState {
    double share { 1 };   ///< Of the targets that are not slow, the part that has a free slot; 1 if unknown.
    double reports { 0 }; ///< Load reports in effect; old ones count less.
    bool isShort { false };
    Core::Duration shortFor {}; ///< How long the shortage has lasted.

    bool operator==(CapacityState const&) const = default;
};

}
