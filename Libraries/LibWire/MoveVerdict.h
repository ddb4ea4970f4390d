#pragma once

#include <string>

namespace Comfreysail::Wire {

/// A move is to be taken back. There is no message for the opposite.
struct MoveVerdict {
    std::string move;
    std::string reason;

    bool operator==(MoveVerdict const&) const = default;
};

}
