#include <LibTraffic/VersionMove.h>

#include <LibTraffic/StorePosition.h>

namespace Comfreysail::Traffic {

bool isSameOrder(VersionMove const& earlier, VersionMove const& later)
{
    bool const isLaterEra = positionOf(earlier.orderedAt).era < positionOf(later.orderedAt).era;
    return isLaterEra && earlier.service == later.service && earlier.toVersion == later.toVersion
        && earlier.duration == later.duration;
}

}
