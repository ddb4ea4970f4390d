#include <LibSettings/SettingsTree.h>
#include <algorithm>

namespace Comfreysail::Settings {

std::string const* SettingsTree::serviceOfHost(std::string_view host) const
{
    for (auto const& [name, service] : services) {
        if (std::ranges::find(service.hosts, host) != service.hosts.end())
            return &name;
    }
    return nullptr;
}

Service const* SettingsTree::service(std::string_view name) const
{
    auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

Department const* SettingsTree::department(std::string_view name) const
{
    auto found = departments.find(name);
    return found == departments.end() ? nullptr : &found->second;
}

bool SettingsTree::isZoneIn(std::string_view zone) const
{
    auto found = availabilityZones.find(zone);
    return found != availabilityZones.end() && found->second.state == ZoneState::In;
}

}
