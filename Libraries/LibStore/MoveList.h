#pragma once

#include <LibCore/Error.h>
#include <LibStore/MoveRow.h>
#include <vector>

namespace Comfreysail::Store {

/// The rows of the table of moves.
struct MoveList {
    std::vector<MoveRow> moves;          ///< Ordered by id.
    std::vector<Core::Error> unreadable; ///< One for each row that is not a move; names the row.

    bool operator==(MoveList const&) const = default;
};

}
