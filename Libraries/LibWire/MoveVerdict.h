#pragma once

#include <string>

namespace Comfreysail::Wire {

/// States that a move must be taken back. There is no message for a favorable verdict.
struct MoveVerdict {
    std::string move;
    std::string reason;

    bool operator==(MoveVerdict const&) const = default;
};

}
