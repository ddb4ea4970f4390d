#pragma once

#include <LibCore/Time.h>
#include <LibRouting/Target.h>
#include <cstddef>
#include <string>

namespace Comfreysail::RoutingReplay {

/// The simulated cluster: the one of docs/design.md, section 1.5, with 5 targets in each of 4 availability zones.
inline constexpr size_t zoneCount = 4;
inline constexpr size_t targetsPerZone = 5;
inline constexpr size_t targetCount = zoneCount * targetsPerZone;
inline constexpr unsigned slotsPerTarget = 2;
inline constexpr size_t daemonCount = 14;
inline constexpr size_t departmentCount = 4;

/// Mean service time of a request.
inline constexpr Core::Duration meanWork = std::chrono::milliseconds(10);

/// One-way network delays.
inline constexpr Core::Duration hopInZone = std::chrono::microseconds(300);
inline constexpr Core::Duration hopBetweenZones = std::chrono::milliseconds(1);

/// A request that has not started within this time after its arrival expires.
inline constexpr Core::Duration requestDeadline = std::chrono::seconds(1);

constexpr size_t zoneOfTarget(size_t target) { return target / targetsPerZone; }

/// The zones have 4, 4, 3 and 3 daemons, so their load is not equal.
constexpr size_t zoneOfDaemon(size_t daemon) { return daemon % zoneCount; }

constexpr Core::Duration hopBetween(size_t zone, size_t otherZone)
{
    return zone == otherZone ? hopInZone : hopBetweenZones;
}

inline std::string zoneName(size_t zone) { return "zone-" + std::to_string(zone); }
inline std::string targetName(size_t target) { return "target-" + std::to_string(target); }
inline size_t targetNumber(std::string const& name) { return std::stoul(name.substr(targetName(0).size() - 1)); }

inline Routing::Target simulatedTarget(size_t target)
{
    return { targetName(target), "127.0.0.1", 80, zoneName(zoneOfTarget(target)), "v1", slotsPerTarget };
}

inline std::string daemonName(size_t daemon) { return "daemon-" + std::to_string(daemon); }
inline std::string departmentName(size_t department) { return "department-" + std::to_string(department); }

}
