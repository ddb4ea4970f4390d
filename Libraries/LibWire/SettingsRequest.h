#pragma once

#include <cstdint>

namespace Comfreysail::Wire {

/// Asks a peer for its settings, when they are newer than the revision that the sender knows.
struct SettingsRequest {
    uint64_t knownRevision { 0 };

    bool operator==(SettingsRequest const&) const = default;
};

}
