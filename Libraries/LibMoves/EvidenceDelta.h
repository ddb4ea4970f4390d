#pragma once

#include <LibMoves/Counters.h>
#include <LibMoves/EvidenceKey.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Comfreysail::Moves {

/// The counts of one daemon for one key. They cover either one second of wall time (slot: Unix time in s) or the time
/// since the start of a move (slot: the start in Unix ms, negated).
struct EvidenceEntry {
    std::string origin; ///< Daemon name.
    uint64_t originIncarnation { 0 };
    EvidenceKey key;
    int64_t slot { 0 };
    Counters counters;

    bool operator==(EvidenceEntry const&) const = default;
};

/// Changed entries to send to other daemons, limited in number.
struct EvidenceDelta {
    std::vector<EvidenceEntry> entries;

    bool operator==(EvidenceDelta const&) const = default;
};

}
