#pragma once

#include <LibStore/MoveRow.h>
#include <string>

namespace Comfreysail::Store {

/// A change of a move's state.
struct MoveChange {
    std::string id;
    MoveState state { MoveState::Paused };
    std::string reason;
    std::string changeId; ///< Unique for the change; sending the same change again uses the same id.

    bool operator==(MoveChange const&) const = default;
};

}
