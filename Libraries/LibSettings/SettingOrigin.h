#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Settings {

/// Levels of the tree, from general to specific.
enum class SettingLevel : uint8_t { BuiltIn, Defaults, Service, Department, DepartmentService };

/// The place that an effective value comes from.
struct SettingOrigin {
    SettingLevel level { SettingLevel::BuiltIn };
    std::string service;    ///< For levels Service and DepartmentService.
    std::string department; ///< For levels Department and DepartmentService; may be a parent of the one asked for.

    bool operator==(SettingOrigin const&) const = default;

    /// The TOML table, such as "departments.appeals.services.orders"; "built-in" where no level sets the value.
    std::string text() const;
};

}
