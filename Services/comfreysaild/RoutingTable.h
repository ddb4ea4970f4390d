#pragma once

#include "ControlPlane.h"
#include "DaemonSettings.h"
#include "GroupDispatcher.h"
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Comfreysail::Daemon {

/// One shard of a service's targets in an availability zone.
struct ShardRoute {
    std::shared_ptr<GroupDispatcher> dispatcher;
    std::optional<PeerMember> home; ///< nullopt if this daemon is the home or there is none.
};

struct ZoneRoute {
    std::string availabilityZone;
    std::map<std::string, unsigned, std::less<>> slotsByVersion;
    std::vector<ShardRoute> shards;
};

/// The groups that requests can be sent to, for one version of the settings and members. Immutable.
struct RoutingTable {
    ControlPlane::SettingsPointer settings;
    std::map<std::string, std::vector<ZoneRoute>, std::less<>> services; ///< Zones that are out of service are absent.
};

/// Keeps the routing table up to date. Dispatchers are kept across rebuilds, because they hold the in-flight counts.
/// Thread safe.
class RoutingTableOwner {
public:
    RoutingTableOwner(ControlPlane&, DaemonSettings const&);

    std::shared_ptr<RoutingTable const> current() const;

    /// Rebuilds the table if settings or members changed since the last call.
    void refresh(Core::Instant now);

    /// Dispatches waiting requests in every group, because some limits of targets rise with time.
    void tick(Core::Instant now);

    std::vector<std::shared_ptr<GroupDispatcher>> dispatchers() const;

private:
    using NameSet = std::set<std::string, std::less<>>;

    struct Group {
        std::shared_ptr<GroupDispatcher> dispatcher;
        std::vector<Routing::Target> targets;
    };

    void addService(RoutingTable&, std::string const& name, Settings::Service const&, std::vector<PeerMember> const&,
        NameSet const& zonesOut, Core::Instant now);
    std::shared_ptr<GroupDispatcher> dispatcherFor(
        Routing::GroupKey const&, std::vector<Routing::Target>, Settings::SettingsTree const&, Core::Instant now);
    std::optional<PeerMember> homeOfGroup(Routing::GroupKey const&, std::vector<PeerMember> const&) const;

    ControlPlane& m_controlPlane;
    DaemonSettings const& m_daemonSettings;
    mutable std::mutex m_mutex; ///< Lock level "group table" of design.md.
    std::shared_ptr<RoutingTable const> m_table { std::make_shared<RoutingTable const>() };
    std::map<Routing::GroupKey, Group> m_groups;
    std::optional<uint64_t> m_generation;
};

}
