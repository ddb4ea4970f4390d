#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Comfreysail::Wire {

/// A row of the moves table, as stored.
struct MoveRow {
    std::string move;
    uint64_t rowVersion { 0 };
    std::string json;

    bool operator==(MoveRow const&) const = default;
};

/// All moves known to the sender, for a daemon that starts while the store is unavailable.
struct MoveRows {
    std::vector<MoveRow> rows;

    bool operator==(MoveRows const&) const = default;
};

}
