#pragma once

#include <LibCore/Time.h>
#include <LibMoves/Moves.h>
#include <LibStore/MoveRow.h>
#include <LibWire/MoveRows.h>
#include <map>
#include <string>
#include <vector>

namespace Comfreysail::Daemon {

/// The moves that this daemon knows, from the store or from peers.
class MoveBook {
public:
    /// The complete table; a move that is not among the rows was deleted.
    void replaceAll(std::vector<Store::MoveRow> const&, Core::WallTime now);
    /// Takes a row that is newer than the known one. A final state never changes.
    void merge(Store::MoveRow const&, Core::WallTime now);

    /// In order of start.
    std::vector<Moves::Move> moves() const;
    Wire::MoveRows rows() const;

private:
    struct Entry {
        Store::MoveRow row;
        Moves::Move move;
    };

    std::map<std::string, Entry> m_entries;
};

}
