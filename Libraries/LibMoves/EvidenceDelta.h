#pragma once

#include <LibMoves/Counters.h>
#include <LibMoves/EvidenceKey.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Comfreysail::Moves {

/// The counts of one origin for one key: in one second of wall time (slot = Unix time in s), or since the start of a
/// move (slot = minus the start in Unix ms).
struct EvidenceEntry {
    std::string origin; ///< Daemon name.
    uint64_t originIncarnation { 0 };
    EvidenceKey key;
    int64_t slot { 0 };
    Counters counters;

    bool operator==(EvidenceEntry const&) const = default;
};

/// A bounded piece of evidence on its way to other daemons.
struct EvidenceDelta {
    std::vector<EvidenceEntry> entries;

    bool operator==(EvidenceDelta const&) const = default;
};

}
