#pragma once

#include <LibCore/Time.h>
#include <LibSettings/SettingOrigin.h>
#include <LibSettings/SettingsTree.h>
#include <string>
#include <string_view>

namespace Comfreysail::Settings {

struct EffectiveValue {
    SettingValue value;
    SettingOrigin origin;

    bool operator==(EffectiveValue const&) const = default;
};

/// Value of a key for a service and a department; either may be empty. The first level that sets the key is used: the
/// department (its values for the service, then its general ones), each of its parents in the same way, the service,
/// the defaults, the built-in value. An unknown department is ignored.
EffectiveValue effectiveValue(SettingsTree const&, SettingKey, std::string_view service, std::string_view department);

enum class OrdersWhenStoreDown : uint8_t { Refuse, TargetDeduplicates };

/// All inheritable values for one service and department, as typed fields.
struct EffectiveSettings {
    Core::Duration timeout {};
    unsigned weight { 1 };
    unsigned queueLimit { 0 };
    Core::Duration queueTimeout {};
    unsigned retryPercent { 0 };
    uint64_t maxBodyBytes { 0 };
    OrdersWhenStoreDown ordersWhenStoreDown { OrdersWhenStoreDown::Refuse };
    std::string version; ///< Never empty for a service of a tree from parseSettings().

    bool operator==(EffectiveSettings const&) const = default;
};

EffectiveSettings effectiveSettings(SettingsTree const&, std::string_view service, std::string_view department);

}
