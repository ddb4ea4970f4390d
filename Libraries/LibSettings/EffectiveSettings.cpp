#include <LibSettings/EffectiveSettings.h>
#include <LibSettings/TomlText.h>

namespace Comfreysail::Settings {

std::string SettingOrigin::text() const
{
    switch (level) {
    case SettingLevel::BuiltIn:
        return "built-in";
    case SettingLevel::Defaults:
        return "defaults";
    case SettingLevel::Service:
        return joinPath("services", service);
    case SettingLevel::Department:
        return joinPath("departments", department);
    case SettingLevel::DepartmentService:
        return joinPath(joinPath("departments", department) + ".services", service);
    }
    return {};
}

EffectiveValue effectiveValue(
    SettingsTree const& tree, SettingKey key, std::string_view serviceName, std::string_view departmentName)
{
    std::string const service(serviceName);
    std::string current(departmentName);
    // A validated tree has no cycles; the bound prevents an endless loop in a tree that was not validated.
    for (size_t depth = 0; depth <= tree.departments.size(); ++depth) {
        auto const* department = tree.department(current);
        if (!department)
            break;
        if (auto level = department->services.find(service); level != department->services.end()) {
            if (auto found = level->second.find(key); found != level->second.end())
                return { found->second, { SettingLevel::DepartmentService, service, current } };
        }
        if (auto found = department->values.find(key); found != department->values.end())
            return { found->second, { SettingLevel::Department, {}, current } };
        if (!department->parent)
            break;
        current = *department->parent;
    }
    auto const* serviceSettings = tree.service(service);
    if (serviceSettings) {
        if (auto found = serviceSettings->values.find(key); found != serviceSettings->values.end())
            return { found->second, { SettingLevel::Service, service, {} } };
    }
    if (auto found = tree.defaults.find(key); found != tree.defaults.end())
        return { found->second, { SettingLevel::Defaults, {}, {} } };
    // A service with a single version needs no version key.
    if (key == SettingKey::Version && serviceSettings && serviceSettings->versions.size() == 1)
        return { serviceSettings->versions.begin()->first, {} };
    return { settingKeyRule(key).builtIn(), {} };
}

EffectiveSettings effectiveSettings(SettingsTree const& tree, std::string_view service, std::string_view department)
{
    auto const integer
        = [&](SettingKey key) { return std::get<int64_t>(effectiveValue(tree, key, service, department).value); };
    auto const text
        = [&](SettingKey key) { return std::get<std::string>(effectiveValue(tree, key, service, department).value); };
    return {
        .timeout = std::chrono::milliseconds(integer(SettingKey::TimeoutMs)),
        .weight = static_cast<unsigned>(integer(SettingKey::Weight)),
        .queueLimit = static_cast<unsigned>(integer(SettingKey::QueueLimit)),
        .queueTimeout = std::chrono::milliseconds(integer(SettingKey::QueueTimeoutMs)),
        .retryPercent = static_cast<unsigned>(integer(SettingKey::RetryPercent)),
        .maxBodyBytes = static_cast<uint64_t>(integer(SettingKey::MaxBodyBytes)),
        .ordersWhenStoreDown = text(SettingKey::OrdersWhenStoreDown) == "refuse"
            ? OrdersWhenStoreDown::Refuse
            : OrdersWhenStoreDown::TargetDeduplicates,
        .version = text(SettingKey::Version),
    };
}

}
