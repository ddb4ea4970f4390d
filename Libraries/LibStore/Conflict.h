#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace Comfreysail::Store {

/// The row that an operation found at another version than expected.
struct Conflict {
    size_t index { 0 };     ///< Of the operation.
    uint64_t version { 0 }; ///< 0: the row is absent.
    std::string value;

    bool operator==(Conflict const&) const = default;
};

}
