#pragma once

#include <cstdint>

namespace Comfreysail::Wire {

/// Asks a peer for its settings if they are newer than `knownRevision`.
struct SettingsRequest {
    uint64_t knownRevision { 0 };

    bool operator==(SettingsRequest const&) const = default;
};

}
