#pragma once

#include <LibSettings/SettingsRevision.h>
#include <cstdint>

namespace Comfreysail::Settings {

/// Whether a daemon adopts a revision that it was offered.
enum class Adoption : uint8_t {
    Adopt,
    AlreadyInForce,
    Older,         ///< Not adopted: accepted settings never revert to an older revision.
    Contradiction, ///< Same revision number with another change id or hash; not adopted, should raise an alert.
};

Adoption adoptionOf(SettingsRevision const& inForce, SettingsRevision const& offered);

}
