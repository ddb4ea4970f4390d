#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Store {

/// Expected version of an operation that wants the row absent.
inline constexpr int64_t absentVersion = 0;
/// Expected version of an operation that takes any state of the row.
inline constexpr int64_t anyVersion = -1;

/// One step of a transaction. All steps take effect, or none.
struct Operation {
    enum class Kind : uint8_t { Put, Delete, Check };

    Kind kind { Kind::Put };
    std::string table;
    std::string key;
    int64_t expectedVersion { anyVersion };
    std::string value {}; ///< For Put.

    bool operator==(Operation const&) const = default;
};

}
