#pragma once

#include <LibCore/Time.h>
#include <LibTraffic/SharedRows.h>
#include <map>
#include <string>

namespace Comfreysail::Traffic {

/// A table of a store that has come back from an older copy, while its owners write again what the copy lacks.
struct RestoredTable {
    SharedRows::Table inForce;   ///< The rows at the end of the earlier era.
    SharedRows::Table firstRead; ///< The first rows that were read in the new era.
    Core::Instant firstReadAt {};
    Core::Duration settlingTime {}; ///< For which the rows in force outlast those of the copy.

    bool operator==(RestoredTable const&) const = default;
};

/// Returns true while the rows in force may differ from those of the store.
bool isSettling(RestoredTable const&, Core::Instant now);

/// Returns the rows to use, given those that the store has now. A row that has changed since the first read was written
/// in the new era, so it counts at once; the others come from the copy and count after the settling time.
SharedRows::Table settledRows(RestoredTable const&, SharedRows::Table const& stored, Core::Instant now);

}
