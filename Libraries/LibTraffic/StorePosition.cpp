#include <LibTraffic/StorePosition.h>

namespace Comfreysail::Traffic {

namespace {

// Allows 17 * 10^12 transactions and a million eras.
constexpr unsigned revisionBits = 44;
constexpr uint64_t maxRevision = (uint64_t { 1 } << revisionBits) - 1;
constexpr uint64_t maxEra = (uint64_t { 1 } << (64 - revisionBits)) - 1;

}

std::optional<uint64_t> numberOf(StorePosition const& position)
{
    if (position.era > maxEra || position.revision > maxRevision)
        return std::nullopt;
    return (position.era << revisionBits) | position.revision;
}

StorePosition positionOf(uint64_t number) { return { number >> revisionBits, number & maxRevision }; }

}
