#pragma once

#include <LibCore/Core.h>
#include <string>
#include <string_view>

namespace Comfreysail::Fakes {

/// Faults that were switched on with POST /faults. A fault with an end time ends by itself; a drain, a bad route
/// and harmless poison requests last until {"fault":"none"}.
struct TargetFaults {
    Core::Instant slowUntil;
    double slowFactor { 1 };
    Core::Instant failFastUntil;
    Core::Instant resetUntil;
    Core::Instant cutUntil;
    Core::Instant lieUntil;
    bool isDraining { false };
    bool crashesOnPoison { true };
    std::string badRoute; ///< Requests with this path prefix are answered 500; empty for none.
    /// Connections that were opened under an earlier value stay open but are neither read nor written.
    unsigned silentGeneration { 0 };
    Core::Instant coldSince;

    /// Applies a command such as {"fault":"slow","factor":10,"for_ms":5000}. Returns false if it is not valid.
    bool apply(std::string_view json, Core::Instant now);
};

}
