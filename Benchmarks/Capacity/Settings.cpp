#include "Meter.h"
#include "Roles.h"
#include <LibSettings/Settings.h>
#include <cstdio>
#include <cstdlib>
#include <sstream>

namespace Comfreysail::Capacity {

namespace {

constexpr size_t zones = 11;

void appendService(std::ostream& toml, size_t service, size_t firstTarget, size_t endTarget)
{
    auto const name = "service-" + std::to_string(service);
    toml << "[services." << name << "]\nhosts = [\"" << name << "\"]\n"
         << "[services." << name
         << ".routes.lookup]\nmethod = \"GET\"\npath_prefix = \"/\"\nclass = \"lookup\"\nidempotent = true\n"
         << "[services." << name
         << ".routes.order]\nmethod = \"POST\"\npath_prefix = \"/orders\"\nclass = \"order\"\nidempotent = false\n"
         << "[services." << name << ".versions.v1]\ntargets = [\n";
    for (auto target = firstTarget; target < endTarget; ++target)
        toml << "  { name = \"t" << target << "\", address = \"10.0." << target / 250 << '.' << target % 250 + 1
             << "\", port = 9000, availability_zone = \"zone-" << target % zones << "\", slots = 2 },\n";
    toml << "]\n";
}

/// Generates a settings tree in the proportions expected in two years: 13.3 targets and 3 departments for each service,
/// 11 zones.
std::string makeTree(size_t services)
{
    std::ostringstream toml;
    toml << "[defaults]\ntimeout_ms = 2000\nweight = 1\n";
    for (size_t zone = 0; zone < zones; ++zone)
        toml << "[availability_zones.zone-" << zone << "]\nstate = \"in\"\nregion = \"region-" << zone % 4 << "\"\n";
    for (size_t service = 0; service < services; ++service) {
        appendService(toml, service, service * 40 / 3, (service + 1) * 40 / 3);
        for (size_t department = 0; department < 3; ++department)
            toml << "[departments.d" << service * 3 + department << "]\nweight = 2\n";
    }
    return toml.str();
}

Settings::SettingsTreePointer parseOrExit(std::string const& toml)
{
    auto parsed = Settings::parseSettings(toml, "generated");
    if (auto* tree = std::get_if<Settings::SettingsTreePointer>(&parsed))
        return *tree;
    std::fputs("BenchmarkCapacity: the generated settings tree is not valid\n", stderr);
    std::exit(1);
}

}

std::vector<Series> measureSettings()
{
    constexpr size_t parses = 10;
    Series size { "settings", "tree_bytes", "services", {} };
    Series time { "settings", "adopt_microseconds", "services", {} };
    Series memory { "settings", "snapshot_bytes", "services", {} };
    for (size_t services : { 15, 50, 150 }) {
        auto const count = static_cast<double>(services);
        auto const toml = makeTree(services);
        size.points.push_back({ count, static_cast<double>(toml.size()) });
        time.points.push_back({ count, microsecondsPerCall(parses, [&](size_t) { parseOrExit(toml); }) });
        auto const before = allocatedBytes();
        auto const tree = parseOrExit(toml);
        memory.points.push_back({ count, allocatedBytes() - before });
    }
    return { size, time, memory };
}

}
