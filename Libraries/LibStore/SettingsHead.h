#pragma once

#include <LibCore/Result.h>
#include <LibSettings/SettingsRevision.h>
#include <LibStore/Row.h>
#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::Store {

/// The row settings/head, which holds the settings in force. The same JSON, always including the text, is the body of
/// POST /settings on a daemon's admin port.
struct SettingsHead {
    Settings::SettingsRevision revision;
    std::optional<std::string> toml;       ///< The text, unless it is stored as an object.
    std::optional<std::string> objectName; ///< Object that holds a text larger than maxInlineSettingsBytes.
    uint64_t rowVersion { 0 };             ///< Row version that this was read from.

    bool operator==(SettingsHead const&) const = default;

    std::string toJson() const;
    static Core::Result<SettingsHead> fromRow(Row const&);
    /// `subject` names the source in error messages.
    static Core::Result<SettingsHead> fromJson(std::string_view json, std::string subject);
};

/// A larger text is stored as an object. Every daemon reads settings/head each second, and its control traffic is
/// limited to 29 KB/s in total; 64 KiB here would use up to 64 KB/s.
inline constexpr size_t maxInlineSettingsBytes = 4 * 1024;

}
