#pragma once

#include <LibSettings/Difference.h>
#include <LibSettings/SettingsRevision.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Comfreysail::Store {

/// Result of applyChange().
struct ApplyResult {
    enum class Outcome : uint8_t {
        Accepted,
        AlreadyAccepted, ///< An earlier send of the same change was accepted.
        Conflict,        ///< Another change was accepted since the expected revision; nothing was written.
        ChangeIdReused,  ///< The change id belongs to an accepted change with another text; nothing was written.
    };

    Outcome outcome { Outcome::Accepted };
    /// Revision of this change if accepted, otherwise of the accepted change that it conflicts with.
    Settings::SettingsRevision revision;
    /// From the settings in force before (Accepted) or now (Conflict) to the settings of this change.
    std::vector<Settings::Difference> differences;

    bool operator==(ApplyResult const&) const = default;

    bool isAccepted() const { return outcome == Outcome::Accepted || outcome == Outcome::AlreadyAccepted; }
};

}
