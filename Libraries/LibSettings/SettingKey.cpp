#include <LibSettings/SettingKey.h>
#include <LibSettings/TomlText.h>

namespace Comfreysail::Settings {

namespace {

using Key = SettingKey;

constexpr std::array<SettingKeyRule, settingKeyCount> rules { {
    { Key::TimeoutMs, "timeout_ms", "ms", 1, 86'400'000, 10'000, {}, {} },
    { Key::Weight, "weight", "shares", 1, 1'000, 1, {}, {} },
    { Key::QueueLimit, "queue_limit", "requests", 1, 100'000, 1'000, {}, {} },
    { Key::QueueTimeoutMs, "queue_timeout_ms", "ms", 1, 86'400'000, 2'000, {}, {} },
    // Together with the burst capacity of the token bucket, 10% keeps sends within 1.2 times the calls.
    { Key::RetryPercent, "retry_percent", "% of calls", 0, 20, 10, {}, {} },
    { Key::MaxBodyBytes, "max_body_bytes", "bytes", 0, 17'179'869'184, 67'108'864, {}, {} },
    // A duplicate order is worse than a refused one.
    { Key::OrdersWhenStoreDown, "orders_when_store_down", "", 0, 0, 0, "refuse", { "refuse", "target_deduplicates" } },
    { Key::Version, "version", "", 0, 0, 0, "", {} },
} };

constexpr bool isOrderedByKey()
{
    for (size_t index = 0; index < rules.size(); ++index) {
        if (static_cast<size_t>(rules[index].key) != index)
            return false;
    }
    return true;
}

static_assert(isOrderedByKey(), "settingKeyRule() indexes the table by key.");

}

SettingValue SettingKeyRule::builtIn() const
{
    if (isInteger())
        return builtInInteger;
    return std::string(builtInText);
}

SettingKeyRule const& settingKeyRule(SettingKey key) { return rules[static_cast<size_t>(key)]; }

std::array<SettingKeyRule, settingKeyCount> const& settingKeyRules() { return rules; }

std::string_view settingKeyName(SettingKey key) { return settingKeyRule(key).name; }

std::optional<SettingKey> settingKeyNamed(std::string_view name)
{
    for (auto const& rule : rules) {
        if (rule.name == name)
            return rule.key;
    }
    return {};
}

std::string describe(SettingValue const& value)
{
    if (auto const* integer = std::get_if<int64_t>(&value))
        return std::to_string(*integer);
    return tomlString(std::get<std::string>(value));
}

}
