#pragma once

#include <LibStore/Conflict.h>
#include <cstdint>
#include <vector>

namespace Comfreysail::Store {

/// Result of a transaction, which either performed all operations or found conflicts and wrote nothing.
struct TransactionResult {
    std::vector<uint64_t> versions;  ///< New version of each operation's row, if committed.
    std::vector<Conflict> conflicts; ///< Empty if committed.

    bool operator==(TransactionResult const&) const = default;

    bool isCommitted() const { return conflicts.empty(); }
};

}
