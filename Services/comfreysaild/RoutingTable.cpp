#include "RoutingTable.h"

#include <algorithm>
#include <set>

namespace Comfreysail::Daemon {

namespace {

using TargetsByZone = std::map<std::string, std::vector<Routing::Target>>;

TargetsByZone targetsByZone(Settings::Service const& service)
{
    TargetsByZone zones;
    for (auto const& [versionName, version] : service.versions) {
        for (auto const& target : version.targets) {
            zones[target.availabilityZone].push_back(
                { target.name, target.address, target.port, target.availabilityZone, versionName, target.slots });
        }
    }
    return zones;
}

std::vector<std::vector<Routing::Target>> splitIntoShards(std::vector<Routing::Target> const& targets)
{
    std::vector<std::string> names;
    names.reserve(targets.size());
    for (auto const& target : targets)
        names.push_back(target.name);
    auto const shardOf = Routing::shardsOfTargets(names);
    std::vector<std::vector<Routing::Target>> shards(Routing::shardCount(targets.size()));
    for (size_t index = 0; index < targets.size(); ++index)
        shards[shardOf[index]].push_back(targets[index]);
    return shards;
}

}

RoutingTableOwner::RoutingTableOwner(ControlPlane& controlPlane, DaemonSettings const& settings)
    : m_controlPlane(controlPlane)
    , m_daemonSettings(settings)
{
}

std::shared_ptr<RoutingTable const> RoutingTableOwner::current() const
{
    std::lock_guard const lock(m_mutex);
    return m_table;
}

void RoutingTableOwner::refresh(Core::Instant now)
{
    // Read before locking, because settings and members come first in the lock order. The generation is read first of
    // all, so that a change during the reads causes another refresh.
    auto const generation = m_controlPlane.generation();
    auto table = std::make_shared<RoutingTable>();
    table->settings = m_controlPlane.settings();
    auto const members = m_controlPlane.liveMembers();
    auto const zonesOut = m_controlPlane.zonesOut();
    std::lock_guard const lock(m_mutex);
    if (m_generation == generation)
        return;
    m_generation = generation;
    if (table->settings) {
        for (auto const& [name, service] : table->settings->tree->services)
            addService(*table, name, service, *members, *zonesOut, now);
    }
    // Groups that were removed from the settings get no new requests; their in-flight requests finish.
    std::set<GroupDispatcher const*> used;
    for (auto const& [name, zones] : table->services) {
        for (auto const& zone : zones) {
            for (auto const& shard : zone.shards)
                used.insert(shard.dispatcher.get());
        }
    }
    for (auto& [key, group] : m_groups) {
        if (!used.contains(group.dispatcher.get()))
            group.dispatcher->setAvailabilityZoneInService(false, now);
    }
    m_table = std::move(table);
}

void RoutingTableOwner::addService(RoutingTable& table, std::string const& name, Settings::Service const& service,
    std::vector<PeerMember> const& members, NameSet const& zonesOut, Core::Instant now)
{
    auto& zones = table.services[name];
    for (auto const& [zoneName, targets] : targetsByZone(service)) {
        if (!table.settings->tree->isZoneIn(zoneName) || zonesOut.contains(zoneName))
            continue;
        ZoneRoute zone;
        zone.availabilityZone = zoneName;
        for (auto const& target : targets)
            zone.slotsByVersion[target.version] += target.slots;
        unsigned shardNumber = 0;
        for (auto& shardTargets : splitIntoShards(targets)) {
            Routing::GroupKey const key { name, zoneName, shardNumber++ };
            ShardRoute shard;
            shard.dispatcher = dispatcherFor(key, std::move(shardTargets), *table.settings->tree, now);
            shard.home = homeOfGroup(key, members);
            auto const mode = shard.home ? Routing::DispatchMode::Fallback : Routing::DispatchMode::Home;
            shard.dispatcher->setMode(mode, now);
            zone.shards.push_back(std::move(shard));
        }
        zones.push_back(std::move(zone));
    }
}

std::shared_ptr<GroupDispatcher> RoutingTableOwner::dispatcherFor(Routing::GroupKey const& key,
    std::vector<Routing::Target> targets, Settings::SettingsTree const& tree, Core::Instant now)
{
    auto& group = m_groups[key];
    if (!group.dispatcher) {
        Routing::GroupOptions options;
        options.seed = Core::hashBytes(m_daemonSettings.vmName + key.service + key.availabilityZone, key.shard);
        // Without seeds there are no other daemons that could be sending to the targets.
        if (m_daemonSettings.seeds.empty())
            options.coldHold = Core::Duration(0);
        Admission::AdmissionOptions admission;
        admission.queueLimit = Settings::effectiveSettings(tree, key.service, {}).queueLimit;
        group.dispatcher = std::make_shared<GroupDispatcher>(key, targets, options, admission, now);
    } else if (group.targets != targets) {
        group.dispatcher->replaceTargets(targets, now);
    }
    group.targets = std::move(targets);
    group.dispatcher->setAvailabilityZoneInService(true, now);
    return group.dispatcher;
}

std::optional<PeerMember> RoutingTableOwner::homeOfGroup(
    Routing::GroupKey const& key, std::vector<PeerMember> const& members) const
{
    std::vector<Routing::HomeCandidate> candidates;
    candidates.reserve(members.size());
    for (auto const& member : members)
        candidates.push_back({ member.name, member.availabilityZone });
    auto const home = Routing::homeOf(key, candidates);
    if (!home || *home == m_daemonSettings.vmName)
        return std::nullopt;
    auto const found = std::ranges::find(members, *home, &PeerMember::name);
    return found == members.end() ? std::nullopt : std::optional(*found);
}

void RoutingTableOwner::tick(Core::Instant now)
{
    for (auto const& dispatcher : dispatchers())
        dispatcher->tick(now);
}

std::vector<std::shared_ptr<GroupDispatcher>> RoutingTableOwner::dispatchers() const
{
    std::lock_guard const lock(m_mutex);
    std::vector<std::shared_ptr<GroupDispatcher>> result;
    result.reserve(m_groups.size());
    for (auto const& [key, group] : m_groups)
        result.push_back(group.dispatcher);
    return result;
}

}
