#pragma once

#include <LibCore/Time.h>
#include <LibMoves/Moves.h>
#include <LibStore/MoveRow.h>
#include <LibWire/MoveRows.h>
#include <map>
#include <string>
#include <vector>

namespace Comfreysail::Daemon {

/// The moves that this daemon knows, from the store or from peers. Not thread safe.
class MoveTable {
public:
    /// Merges all rows of the store's table. A known move that is not among them was deleted, and is removed.
    void replaceAll(std::vector<Store::MoveRow> const&, Core::WallTime now);
    /// Adds the row, or replaces the known one if that is not final and the row is newer or final.
    void merge(Store::MoveRow const&, Core::WallTime now);

    /// All moves, sorted by start time.
    std::vector<Moves::Move> moves() const;
    /// All rows, to be sent to peers.
    Wire::MoveRows rows() const;

private:
    struct Entry {
        Store::MoveRow row;
        Moves::Move move;
    };

    std::map<std::string, Entry> m_entries;
};

}
