#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::Access {

/// A customer of the operators. Holds no keys, so it may be logged and shown.
struct Department {
    std::string name;
    std::optional<unsigned> priority; ///< Overrides the route's; 0 is the most urgent. Absent: the route's counts.

    bool operator==(Department const&) const = default;
};

/// The department's name; empty for nullptr.
inline std::string_view nameOf(Department const* department)
{
    return department ? std::string_view(department->name) : std::string_view();
}

}
