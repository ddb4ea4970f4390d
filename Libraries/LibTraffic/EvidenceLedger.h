#pragma once

#include <LibTraffic/MoveJudge.h>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace Comfreysail::Traffic {

/// What daemons observed of the old and the new version of a move.
struct MoveEvidence {
    VersionEvidence newVersion;
    VersionEvidence oldVersion;

    bool operator==(MoveEvidence const&) const = default;
};

/// The evidence on the running moves of all daemons, as far as this daemon has heard of it. Counts are kept for each
/// daemon that made the observations and only grow, so a merge is idempotent: it does not matter on how many ways and
/// how often the counts of a daemon arrive. Sums of sums counted the same requests many times as soon as daemons
/// changed their sources, and a bad version looked like the old one.
class EvidenceLedger {
public:
    /// Identifies a move by the revision of its order.
    using Move = uint64_t;
    /// Identifies one run of a daemon's process.
    using Origin = uint32_t;

    /// Forgets all other moves. Evidence on moves that were not named here is ignored.
    void setMoves(std::set<Move> const&);

    /// Stores the counts of a daemon unless larger ones are known.
    void note(Move, Origin, MoveEvidence const&);

    /// Merges a text of textSince(). Invalid parts are ignored.
    void merge(std::string_view text);

    /// The entries that changed after the version, in a form that needs no escaping in a URL. Version 0 gives all.
    std::string textSince(uint64_t version) const;
    std::string textOf(Move) const;

    /// Increases with each change.
    uint64_t version() const { return m_version; }

    MoveEvidence total(Move) const;

private:
    struct Entry {
        MoveEvidence evidence;
        uint64_t changedAt { 0 }; ///< Version of the ledger.
    };
    using Entries = std::map<Origin, Entry>;

    static std::string textOf(Move, Entries const&, uint64_t sinceVersion);

    std::map<Move, Entries> m_moves;
    uint64_t m_version { 0 };
};

}
