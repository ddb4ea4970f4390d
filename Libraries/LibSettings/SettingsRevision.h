#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Comfreysail::Settings {

/// Names one accepted state of the settings.
struct SettingsRevision {
    uint64_t revision { 0 }; ///< From 1, one higher for each accepted change; 0 when there are no settings.
    std::string changeId;    ///< Of the change that made it.
    std::string hash;        ///< settingsHash() of the TOML text.

    auto operator<=>(SettingsRevision const&) const = default;
};

/// Hash of a settings text as stored and sent.
std::string settingsHash(std::string_view toml);

}
