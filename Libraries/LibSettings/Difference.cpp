#include <LibSettings/Difference.h>
#include <LibSettings/TomlText.h>
#include <map>

namespace Comfreysail::Settings {

namespace {

using Flat = std::map<std::string, std::string>;

void flattenValues(Flat& flat, std::string const& path, LevelValues const& values)
{
    for (auto const& [key, value] : values)
        flat.emplace(joinPath(path, settingKeyName(key)), describe(value));
}

void flattenService(Flat& flat, std::string const& path, Service const& service)
{
    std::string hosts;
    for (auto const& host : service.hosts)
        hosts += (hosts.empty() ? "" : ", ") + tomlString(host);
    flat.emplace(path + ".hosts", '[' + hosts + ']');
    flattenValues(flat, path, service.values);
    for (auto const& [name, route] : service.routes) {
        auto const routePath = joinPath(path + ".routes", name);
        flat.emplace(routePath + ".method", tomlString(route.method));
        flat.emplace(routePath + ".path_prefix", tomlString(route.pathPrefix));
        flat.emplace(routePath + ".class", tomlString(routeClassName(route.routeClass)));
        flat.emplace(routePath + ".idempotent", route.idempotent ? "true" : "false");
    }
    for (auto const& [name, version] : service.versions) {
        auto const targetsPath = joinPath(path + ".versions", name) + ".targets";
        if (version.targets.empty())
            flat.emplace(targetsPath, "[]");
        for (auto const& target : version.targets) {
            auto const targetPath = joinPath(targetsPath, target.name);
            flat.emplace(targetPath + ".address", tomlString(target.address));
            flat.emplace(targetPath + ".port", std::to_string(target.port));
            flat.emplace(targetPath + ".availability_zone", tomlString(target.availabilityZone));
            flat.emplace(targetPath + ".slots", std::to_string(target.slots));
        }
    }
}

/// All values by path. A department, and each of its service tables, also has an entry of its own, so that adding one
/// without values is a difference.
Flat flatten(SettingsTree const& tree)
{
    Flat flat;
    flattenValues(flat, "defaults", tree.defaults);
    for (auto const& [name, zone] : tree.availabilityZones) {
        auto const path = joinPath("availability_zones", name);
        flat.emplace(path + ".state", zone.state == ZoneState::In ? "\"in\"" : "\"out\"");
        flat.emplace(path + ".region", tomlString(zone.region));
    }
    for (auto const& [name, service] : tree.services)
        flattenService(flat, joinPath("services", name), service);
    for (auto const& [name, department] : tree.departments) {
        auto const path = joinPath("departments", name);
        flat.emplace(path, "{}");
        if (department.parent)
            flat.emplace(path + ".parent", tomlString(*department.parent));
        flattenValues(flat, path, department.values);
        for (auto const& [service, values] : department.services) {
            auto const servicePath = joinPath(path + ".services", service);
            flat.emplace(servicePath, "{}");
            flattenValues(flat, servicePath, values);
        }
    }
    return flat;
}

}

std::string Difference::text() const
{
    std::string result;
    if (before)
        result = "- " + path + " = " + *before;
    if (after)
        result += (result.empty() ? "+ " : "\n+ ") + path + " = " + *after;
    return result;
}

std::vector<Difference> differences(SettingsTree const& before, SettingsTree const& after)
{
    auto const oldValues = flatten(before);
    auto const newValues = flatten(after);
    std::map<std::string, Difference> byPath;
    for (auto const& [path, text] : oldValues) {
        auto found = newValues.find(path);
        if (found == newValues.end())
            byPath.emplace(path, Difference { path, text, {} });
        else if (found->second != text)
            byPath.emplace(path, Difference { path, text, found->second });
    }
    for (auto const& [path, text] : newValues) {
        if (!oldValues.contains(path))
            byPath.emplace(path, Difference { path, {}, text });
    }
    std::vector<Difference> result;
    for (auto& [path, difference] : byPath)
        result.push_back(std::move(difference));
    return result;
}

}
