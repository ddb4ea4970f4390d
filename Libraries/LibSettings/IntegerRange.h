#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Settings {

/// Allowed values of an integer key, both ends included.
struct IntegerRange {
    int64_t minimum { 0 };
    int64_t maximum { 0 };
    std::string unit {}; ///< Such as "ms"; may be empty.

    bool contains(int64_t value) const { return value >= minimum && value <= maximum; }

    /// "a whole number from 1 to 65535".
    std::string text() const;
};

}
