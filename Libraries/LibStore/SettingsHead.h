#pragma once

#include <LibCore/Result.h>
#include <LibSettings/SettingsRevision.h>
#include <LibStore/Row.h>
#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::Store {

/// The row settings/head: the settings in force. The same JSON, always with the text, is the body of POST /settings on
/// a daemon's admin port.
struct SettingsHead {
    Settings::SettingsRevision revision;
    std::optional<std::string> toml;       ///< The text, unless it is an object.
    std::optional<std::string> objectName; ///< Where the text is, when it is over maxInlineSettingsBytes.
    uint64_t rowVersion { 0 };             ///< Version of the row that it was read from.

    bool operator==(SettingsHead const&) const = default;

    std::string toJson() const;
    static Core::Result<SettingsHead> fromRow(Row const&);
    /// `subject` names the source in faults.
    static Core::Result<SettingsHead> fromJson(std::string_view json, std::string subject);
};

/// Every daemon reads the row each second, and all control of a daemon may use 29 KB/s; 64 KiB here would take up to 64
/// KB/s.
inline constexpr size_t maxInlineSettingsBytes = 4 * 1024;

}
