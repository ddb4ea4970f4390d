#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Comfreysail::Wire {

/// A row of the table of moves as the store holds it.
struct MoveRow {
    std::string move;
    uint64_t rowVersion { 0 };
    std::string json;

    bool operator==(MoveRow const&) const = default;
};

/// The moves that the sender knows, for a daemon that starts while the store is down.
struct MoveRows {
    std::vector<MoveRow> rows;

    bool operator==(MoveRows const&) const = default;
};

}
