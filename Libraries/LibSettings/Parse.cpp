#include <LibSettings/CheckedDocument.h>
#include <LibSettings/EffectiveSettings.h>
#include <LibSettings/Parse.h>
#include <map>
#include <optional>
#include <set>

namespace Comfreysail::Settings {

namespace {

// 2,000 targets take about 250 KB. The limit prevents a wrong file from filling the memory of every daemon.
constexpr size_t maxSettingsBytes = 4 * 1024 * 1024;

constexpr std::array<std::string_view, 2> zoneStates { "in", "out" };
constexpr std::array<std::string_view, routeClassCount> routeClasses { "lookup", "order", "download" };

/// Reads one document into a tree. References between parts are checked after all parts are read.
class SettingsReader {
public:
    explicit SettingsReader(CheckedDocument const& document)
        : m_root(document.root())
    {
    }

    SettingsTree read()
    {
        readZones();
        if (auto defaults = m_root.table("defaults")) {
            m_tree.defaults = readLevel(*defaults, {});
            defaults->refuseOtherKeys();
        }
        for (auto& [name, table] : m_root.namedTables("services"))
            readService(name, table);
        for (auto& [name, table] : m_root.namedTables("departments"))
            readDepartment(name, table);
        m_root.refuseOtherKeys();
        checkParents();
        checkDepartmentServices();
        checkVersions();
        return std::move(m_tree);
    }

private:
    /// A level that sets `version`; `service` is empty if the level applies to every service.
    struct VersionReference {
        CheckedTable table;
        std::string service;
        std::string version;
    };

    LevelValues readLevel(CheckedTable& table, std::string const& service)
    {
        LevelValues values;
        for (auto const& rule : settingKeyRules()) {
            if (rule.isInteger()) {
                IntegerRange const range { rule.minimum, rule.maximum, std::string(rule.unit) };
                if (auto value = table.integer(rule.name, range))
                    values.emplace(rule.key, *value);
            } else if (rule.isChoice()) {
                if (auto index = table.choice(rule.name, rule.choices))
                    values.emplace(rule.key, std::string(rule.choices[*index]));
            } else if (auto value = table.text(rule.name, nameRule)) {
                values.emplace(rule.key, *value);
                m_versionReferences.push_back({ table, service, *value });
            }
        }
        return values;
    }

    void readZones()
    {
        for (auto& [name, table] : m_root.namedTables("availability_zones")) {
            AvailabilityZone zone;
            if (auto state = table.choice("state", zoneStates, Presence::Required))
                zone.state = *state == 0 ? ZoneState::In : ZoneState::Out;
            zone.region = table.text("region", nameRule, Presence::Required).value_or("");
            table.refuseOtherKeys();
            m_tree.availabilityZones.emplace(name, std::move(zone));
        }
    }

    void readService(std::string const& name, CheckedTable& table)
    {
        Service service;
        service.values = readLevel(table, name);
        service.hosts = table.texts("hosts", hostRule, Presence::Required);
        for (auto const& host : service.hosts) {
            auto const [other, isNew] = m_serviceOfHost.emplace(host, name);
            if (!isNew)
                table.addFault("hosts", "host \"" + host + "\" is already listed for service " + other->second);
        }
        std::map<std::pair<std::string, std::string>, std::string> routeOfPrefix;
        for (auto& [routeName, routeTable] : table.namedTables("routes", Presence::Required)) {
            auto route = readRoute(routeTable);
            auto const [other, isNew] = routeOfPrefix.emplace(std::pair(route.method, route.pathPrefix), routeName);
            if (!isNew && !route.pathPrefix.empty())
                routeTable.addFault("path_prefix", "route " + other->second + " has the same method and path_prefix");
            service.routes.emplace(routeName, std::move(route));
        }
        std::set<std::string> targetNames;
        std::set<std::string> targetAddresses;
        for (auto& [versionName, versionTable] : table.namedTables("versions", Presence::Required)) {
            Version version;
            auto targets = versionTable.tables("targets", Presence::Required);
            for (auto& target : targets)
                version.targets.push_back(readTarget(target, targetNames, targetAddresses));
            versionTable.refuseOtherKeys();
            service.versions.emplace(versionName, std::move(version));
        }
        table.refuseOtherKeys();
        m_serviceTables.emplace(name, table);
        m_tree.services.emplace(name, std::move(service));
    }

    static Route readRoute(CheckedTable& table)
    {
        Route route;
        route.method = table.text("method", methodRule).value_or("*");
        route.pathPrefix = table.text("path_prefix", pathPrefixRule, Presence::Required).value_or("");
        if (auto index = table.choice("class", routeClasses, Presence::Required))
            route.routeClass = static_cast<RouteClass>(*index);
        // Required, because a wrong default would retry an order, or fail a lookup that could have been retried.
        route.idempotent = table.boolean("idempotent", Presence::Required).value_or(false);
        table.refuseOtherKeys();
        return route;
    }

    Target readTarget(CheckedTable& table, std::set<std::string>& names, std::set<std::string>& addresses)
    {
        Target target;
        target.name = table.text("name", nameRule, Presence::Required).value_or("");
        target.address = table.text("address", ipAddressRule, Presence::Required).value_or("");
        target.port = static_cast<uint16_t>(table.integer("port", { 1, 65535 }, Presence::Required).value_or(0));
        target.availabilityZone = table.text("availability_zone", nameRule, Presence::Required).value_or("");
        target.slots = static_cast<unsigned>(table.integerOr("slots", { 1, 10'000 }, target.slots));
        table.refuseOtherKeys();
        if (!target.name.empty() && !names.insert(target.name).second)
            table.addFault("name", "another target of this service has this name");
        if (!target.address.empty() && target.port != 0
            && !addresses.insert(target.address + ' ' + std::to_string(target.port)).second)
            table.addFault("port", "another target of this service has this address and port");
        if (!target.availabilityZone.empty() && !m_tree.availabilityZones.contains(target.availabilityZone))
            table.addFault("availability_zone",
                "availability zone \"" + target.availabilityZone + "\" is not declared in [availability_zones]");
        return target;
    }

    void readDepartment(std::string const& name, CheckedTable& table)
    {
        Department department;
        department.values = readLevel(table, {});
        department.parent = table.text("parent", nameRule);
        for (auto& [serviceName, serviceTable] : table.namedTables("services")) {
            department.services.emplace(serviceName, readLevel(serviceTable, serviceName));
            serviceTable.refuseOtherKeys();
            m_departmentServices.emplace_back(serviceName, serviceTable);
        }
        table.refuseOtherKeys();
        m_departmentTables.emplace(name, table);
        m_tree.departments.emplace(name, std::move(department));
    }

    void checkParents()
    {
        for (auto& [name, table] : m_departmentTables) {
            auto const& parent = m_tree.departments.at(name).parent;
            if (!parent)
                continue;
            if (!m_tree.departments.contains(*parent)) {
                table.addFault("parent", "department \"" + *parent + "\" does not exist");
                continue;
            }
            if (auto cycle = cycleFrom(name))
                table.addFault("parent", "the parents form a cycle: " + *cycle);
        }
    }

    /// The chain of parents as text, if it leads back to the department.
    std::optional<std::string> cycleFrom(std::string const& start) const
    {
        auto chain = start;
        std::set<std::string> seen;
        for (auto const* department = m_tree.department(start); department && department->parent;
             department = m_tree.department(*department->parent)) {
            chain += " -> " + *department->parent;
            if (*department->parent == start)
                return chain;
            // A cycle further up is reported for its own members.
            if (!seen.insert(*department->parent).second)
                return {};
        }
        return {};
    }

    void checkDepartmentServices()
    {
        for (auto& [service, table] : m_departmentServices) {
            if (!m_tree.services.contains(service))
                table.addFault({}, "service \"" + service + "\" does not exist");
        }
    }

    void checkVersions()
    {
        for (auto& reference : m_versionReferences) {
            if (!reference.service.empty()) {
                checkVersionOf(reference, reference.service);
                continue;
            }
            for (auto const& [service, unused] : m_tree.services)
                checkVersionOf(reference, service);
        }
        for (auto& [name, table] : m_serviceTables) {
            auto const& versions = m_tree.services.at(name).versions;
            if (versions.size() > 1 && effectiveSettings(m_tree, name, {}).version.empty())
                table.addFault("version", "is required for a service with more than one version");
            if (versions.empty())
                table.addFault("versions", "must hold at least one version");
        }
    }

    void checkVersionOf(VersionReference& reference, std::string const& service)
    {
        auto const* found = m_tree.service(service);
        // A service that does not exist is reported by checkDepartmentServices().
        if (!found || found->versions.contains(reference.version))
            return;
        std::string known;
        for (auto const& [name, unused] : found->versions)
            known += (known.empty() ? "" : ", ") + name;
        reference.table.addFault("version",
            "service " + service + " has no version \"" + reference.version
                + "\"; its versions: " + (known.empty() ? "none" : known));
    }

    CheckedTable m_root;
    SettingsTree m_tree;
    std::map<std::string, std::string> m_serviceOfHost;
    std::map<std::string, CheckedTable> m_serviceTables;
    std::map<std::string, CheckedTable> m_departmentTables;
    std::vector<std::pair<std::string, CheckedTable>> m_departmentServices;
    std::vector<VersionReference> m_versionReferences;
};

}

std::variant<SettingsTreePointer, SettingsFaults> parseSettings(std::string_view toml, std::string file)
{
    if (toml.size() > maxSettingsBytes) {
        return SettingsFaults { { std::move(file), 0, {},
            "the text has " + std::to_string(toml.size()) + " bytes; at most " + std::to_string(maxSettingsBytes)
                + " are allowed" } };
    }
    CheckedDocument const document(toml, std::move(file));
    if (!document.isParsed())
        return document.faults();
    auto tree = SettingsReader(document).read();
    if (auto faults = document.faults(); !faults.empty())
        return faults;
    return std::make_shared<SettingsTree const>(std::move(tree));
}

}
