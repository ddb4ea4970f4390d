#pragma once

#include <LibCore/Error.h>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Comfreysail::Settings {

/// A validation error in a settings file.
struct SettingsFault {
    std::string file;
    uint32_t line { 0 }; ///< Starts at 1; 0 if the fault has no line, such as a missing file.
    std::string key;     ///< Dotted path, such as "services.orders.timeout_ms"; empty for a syntax error.
    std::string problem; ///< Includes the allowed range or values.

    auto operator<=>(SettingsFault const&) const = default;

    /// "file:line: key: problem".
    std::string text() const;
};

using SettingsFaults = std::vector<SettingsFault>;

/// An InvalidSettings error whose detail holds one line for each fault.
Core::Error toError(SettingsFaults const&);

}
