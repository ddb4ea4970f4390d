#pragma once

#include <LibSettings/SettingsRevision.h>
#include <cstdint>

namespace Comfreysail::Settings {

/// What to do with a revision that a daemon learned of.
enum class Adoption : uint8_t {
    Adopt,
    AlreadyInForce,
    Older,         ///< Never adopted: an accepted configuration does not revert.
    Contradiction, ///< Same revision number with another change or hash; not adopted, and worth an alarm.
};

Adoption adoptionOf(SettingsRevision const& inForce, SettingsRevision const& offered);

}
