#pragma once

#include <LibStore/Conflict.h>
#include <cstdint>
#include <vector>

namespace Comfreysail::Store {

/// A transaction either wrote every operation, or found conflicts and wrote nothing.
struct TransactionResult {
    std::vector<uint64_t> versions;  ///< New version of each operation's row, when committed.
    std::vector<Conflict> conflicts; ///< Empty when committed.

    bool operator==(TransactionResult const&) const = default;

    bool isCommitted() const { return conflicts.empty(); }
};

}
