#pragma once

#include <cstdint>
#include <optional>

namespace Comfreysail::Traffic {

/// Position in the history of the platform's store. The store begins a new era each time it comes back from an older
/// copy, and then gives out revisions again that it has given out before. The era comes first in comparisons.
struct StorePosition {
    uint64_t era { 0 };
    uint64_t revision { 0 };

    auto operator<=>(StorePosition const&) const = default;
};

/// Converts a position to the number by which rows and tables are compared and passed between daemons, and back. In era
/// 0, which is that of a store without eras, the number is the revision. Returns std::nullopt if the era or the
/// revision is too large.
std::optional<uint64_t> numberOf(StorePosition const&);
StorePosition positionOf(uint64_t number);

}
