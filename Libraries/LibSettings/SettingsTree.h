#pragma once

#include <LibSettings/AvailabilityZone.h>
#include <LibSettings/Department.h>
#include <LibSettings/Service.h>
#include <LibSettings/SettingKey.h>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Comfreysail::Settings {

/// The operators' settings as an immutable value. A tree returned by parseSettings() is fully validated.
struct SettingsTree {
    LevelValues defaults;
    std::map<std::string, Service, std::less<>> services;
    std::map<std::string, Department, std::less<>> departments;
    std::map<std::string, AvailabilityZone, std::less<>> availabilityZones;

    bool operator==(SettingsTree const&) const = default;

    /// Name of the service that serves a host (lower case, without port), or nullptr. Hosts are unique in the tree.
    std::string const* serviceOfHost(std::string_view host) const;

    Service const* service(std::string_view name) const;
    Department const* department(std::string_view name) const;
    /// True if the zone is declared and its state is ZoneState::In.
    bool isZoneIn(std::string_view zone) const;
};

using SettingsTreePointer = std::shared_ptr<SettingsTree const>;

}
