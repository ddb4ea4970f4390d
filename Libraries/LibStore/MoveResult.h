#pragma once

#include <LibStore/MoveRow.h>
#include <cstdint>

namespace Comfreysail::Store {

/// How a change of a move ended.
struct MoveResult {
    enum class Outcome : uint8_t {
        Changed,
        AlreadyThere, ///< The row is in the wanted state already, by this change or another.
        Conflict,     ///< The state of the row does not allow the change; nothing was written.
    };

    Outcome outcome { Outcome::Changed };
    MoveRow row; ///< As it is now.

    bool operator==(MoveResult const&) const = default;
};

}
