#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Store {

/// Expected version that requires the row to be absent.
inline constexpr int64_t absentVersion = 0;
/// Expected version that allows the row to have any version or to be absent.
inline constexpr int64_t anyVersion = -1;

/// One operation of a transaction. Either all operations take effect or none.
struct Operation {
    enum class Kind : uint8_t { Put, Delete, Check };

    Kind kind { Kind::Put };
    std::string table;
    std::string key;
    int64_t expectedVersion { anyVersion };
    std::string value {}; ///< Only for Put.

    bool operator==(Operation const&) const = default;
};

}
