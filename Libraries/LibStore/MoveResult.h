#pragma once

#include <LibStore/MoveRow.h>
#include <cstdint>

namespace Comfreysail::Store {

/// Result of declareMove() or changeMove().
struct MoveResult {
    enum class Outcome : uint8_t {
        Changed,
        AlreadyThere, ///< The row already has the requested state, through this change or another one.
        Conflict,     ///< The state of the row does not allow the change; nothing was written.
    };

    Outcome outcome { Outcome::Changed };
    MoveRow row; ///< The current row.

    bool operator==(MoveResult const&) const = default;
};

}
