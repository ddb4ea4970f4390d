#pragma once

#include <LibCore/Core.h>
#include <string>
#include <string_view>

namespace Comfreysail::Fakes {

/// Faults that POST /faults has switched on. A fault ends at its time; the ones without a time last.
struct TargetFaults {
    Core::Instant slowUntil;
    double slowFactor { 1 };
    Core::Instant failFastUntil;
    Core::Instant resetUntil;
    Core::Instant cutUntil;
    Core::Instant lieUntil;
    bool isDraining { false };
    bool crashesOnPoison { true };
    std::string badRoute;            ///< Path prefix that fails with a 500; empty for none.
    unsigned silentGeneration { 0 }; ///< Connections of an earlier generation neither read nor write any more.
    Core::Instant coldSince;

    /// Applies a switch such as {"fault":"slow","factor":10,"for_ms":5000}. Returns false when it is not valid.
    bool apply(std::string_view json, Core::Instant now);
};

}
