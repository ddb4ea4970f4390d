#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Settings {

/// Levels of the tree, from general to specific.
enum class SettingLevel : uint8_t { BuiltIn, Defaults, Service, Department, DepartmentService };

/// The level at which an effective value is set.
struct SettingOrigin {
    SettingLevel level { SettingLevel::BuiltIn };
    std::string service;    ///< For levels Service and DepartmentService.
    std::string department; ///< For levels Department and DepartmentService; may be a parent of the requested one.

    bool operator==(SettingOrigin const&) const = default;

    /// The TOML table, such as "departments.appeals.services.orders"; "built-in" if no level sets the value.
    std::string text() const;
};

}
