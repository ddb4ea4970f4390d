#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Comfreysail::Settings {

/// The inheritable keys: each may be set at every level of the tree.
enum class SettingKey : uint8_t {
    TimeoutMs,
    Weight,
    QueueLimit,
    QueueTimeoutMs,
    RetryPercent,
    MaxBodyBytes,
    OrdersWhenStoreDown,
    Version,
};

inline constexpr size_t settingKeyCount = static_cast<size_t>(SettingKey::Version) + 1;

/// An integer, or the text of a choice or a name.
using SettingValue = std::variant<int64_t, std::string>;

/// The values that are set at one level of the tree.
using LevelValues = std::map<SettingKey, SettingValue>;

/// Allowed values of a key, and its value if no level sets it.
struct SettingKeyRule {
    SettingKey key;
    std::string_view name;
    std::string_view unit; ///< "ms", "bytes" and the like; empty for choices and names.
    int64_t minimum;       ///< For integer keys.
    int64_t maximum;
    int64_t builtInInteger;
    std::string_view builtInText;            ///< For text keys.
    std::array<std::string_view, 2> choices; ///< For choice keys; empty otherwise.

    bool isInteger() const { return maximum > 0; }
    bool isChoice() const { return !choices[0].empty(); }
    SettingValue builtIn() const;
};

SettingKeyRule const& settingKeyRule(SettingKey);
std::array<SettingKeyRule, settingKeyCount> const& settingKeyRules();
std::string_view settingKeyName(SettingKey);
std::optional<SettingKey> settingKeyNamed(std::string_view);

/// The value in TOML syntax; text is quoted.
std::string describe(SettingValue const&);

}
