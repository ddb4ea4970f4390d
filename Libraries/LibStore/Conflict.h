#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace Comfreysail::Store {

/// A row whose version is not the one that an operation expects.
struct Conflict {
    size_t index { 0 };     ///< Index of the operation in the transaction.
    uint64_t version { 0 }; ///< Current version; 0 if the row is absent.
    std::string value;

    bool operator==(Conflict const&) const = default;
};

}
