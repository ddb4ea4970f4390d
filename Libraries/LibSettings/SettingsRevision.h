#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Comfreysail::Settings {

/// Identifies one accepted version of the settings.
struct SettingsRevision {
    uint64_t revision { 0 }; ///< Starts at 1, increases by one with each accepted change; 0 if there are no settings.
    std::string changeId;    ///< Id of the change that created the revision.
    std::string hash;        ///< settingsHash() of the TOML text.

    auto operator<=>(SettingsRevision const&) const = default;
};

/// Hash of a settings text as stored and sent.
std::string settingsHash(std::string_view toml);

}
