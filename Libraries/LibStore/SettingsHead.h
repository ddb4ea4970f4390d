#pragma once

#include <LibCore/Result.h>
#include <LibSettings/SettingsRevision.h>
#include <LibStore/Row.h>
#include <optional>
#include <string>

namespace Comfreysail::Store {

/// The row settings/head: the settings in force.
struct SettingsHead {
    Settings::SettingsRevision revision;
    std::optional<std::string> toml;       ///< The text, unless it is an object.
    std::optional<std::string> objectName; ///< Where the text is, when it is over maxInlineSettingsBytes.
    uint64_t rowVersion { 0 };             ///< Version of the row that it was read from.

    bool operator==(SettingsHead const&) const = default;

    std::string toJson() const;
    static Core::Result<SettingsHead> fromRow(Row const&);
};

inline constexpr size_t maxInlineSettingsBytes = 64 * 1024;

}
