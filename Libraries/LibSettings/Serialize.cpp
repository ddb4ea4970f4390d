#include <LibSettings/Serialize.h>
#include <LibSettings/TomlText.h>

namespace Comfreysail::Settings {

namespace {

void writeHeader(std::string& out, std::string const& path)
{
    if (!out.empty())
        out += '\n';
    out += '[' + path + "]\n";
}

void writeValues(std::string& out, LevelValues const& values)
{
    for (auto const& [key, value] : values)
        out += std::string(settingKeyName(key)) + " = " + describe(value) + '\n';
}

void writeService(std::string& out, std::string const& path, Service const& service)
{
    writeHeader(out, path);
    out += "hosts = [";
    for (size_t index = 0; index < service.hosts.size(); ++index)
        out += (index ? ", " : "") + tomlString(service.hosts[index]);
    out += "]\n";
    writeValues(out, service.values);
    writeHeader(out, path + ".routes");
    for (auto const& [name, route] : service.routes) {
        writeHeader(out, joinPath(path + ".routes", name));
        out += "method = " + tomlString(route.method) + "\npath_prefix = " + tomlString(route.pathPrefix)
            + "\nclass = " + tomlString(routeClassName(route.routeClass))
            + "\nidempotent = " + (route.idempotent ? "true" : "false") + '\n';
    }
    for (auto const& [name, version] : service.versions) {
        writeHeader(out, joinPath(path + ".versions", name));
        out += "targets = [\n";
        for (auto const& target : version.targets) {
            out += "    { name = " + tomlString(target.name) + ", address = " + tomlString(target.address) + ", port = "
                + std::to_string(target.port) + ", availability_zone = " + tomlString(target.availabilityZone)
                + ", slots = " + std::to_string(target.slots) + " },\n";
        }
        out += "]\n";
    }
}

}

std::string serializeSettings(SettingsTree const& tree)
{
    std::string out;
    writeHeader(out, "defaults");
    writeValues(out, tree.defaults);
    for (auto const& [name, zone] : tree.availabilityZones) {
        writeHeader(out, joinPath("availability_zones", name));
        out += std::string("state = ") + (zone.state == ZoneState::In ? "\"in\"" : "\"out\"")
            + "\nregion = " + tomlString(zone.region) + '\n';
    }
    for (auto const& [name, service] : tree.services)
        writeService(out, joinPath("services", name), service);
    for (auto const& [name, department] : tree.departments) {
        auto const path = joinPath("departments", name);
        writeHeader(out, path);
        if (department.parent)
            out += "parent = " + tomlString(*department.parent) + '\n';
        writeValues(out, department.values);
        for (auto const& [service, values] : department.services) {
            writeHeader(out, joinPath(path + ".services", service));
            writeValues(out, values);
        }
    }
    return out;
}

}
