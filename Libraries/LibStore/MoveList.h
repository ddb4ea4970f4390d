#pragma once

#include <LibCore/Error.h>
#include <LibStore/MoveRow.h>
#include <vector>

namespace Comfreysail::Store {

/// The rows of the moves table.
struct MoveList {
    std::vector<MoveRow> moves;          ///< Ordered by id.
    std::vector<Core::Error> unreadable; ///< One for each row that cannot be parsed; names the row.

    bool operator==(MoveList const&) const = default;
};

}
