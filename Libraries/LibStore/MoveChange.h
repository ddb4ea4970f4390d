#pragma once

#include <LibStore/MoveRow.h>
#include <string>

namespace Comfreysail::Store {

/// A change of a move's state.
struct MoveChange {
    std::string id;
    MoveState state { MoveState::Paused };
    std::string reason;
    std::string changeId; ///< Unique for each change; a retry of the same change uses the same id.

    bool operator==(MoveChange const&) const = default;
};

}
