#include "LoadExchange.h"

#include <algorithm>

namespace Comfreysail::Daemon {

namespace {

constexpr double microsecondsPerPermille = 1'000;

Routing::MeasurementLimits measurementLimits(DaemonSettings const& settings)
{
    Routing::MeasurementLimits limits;
    limits.bytesPerSecond = std::min(limits.bytesPerSecond, static_cast<double>(settings.measurementBytesPerSecond));
    limits.processorTimePerSecond = std::min(limits.processorTimePerSecond,
        Core::Duration(static_cast<int64_t>(settings.measurementCpuPermille * microsecondsPerPermille)));
    return limits;
}

/// Calls the function for each shard of the zones.
template<typename Function> void forEachShard(std::vector<ZoneRoute> const& zones, Function const& function)
{
    for (auto const& zone : zones) {
        for (auto const& shard : zone.shards)
            function(shard);
    }
}

bool isSibling(Routing::GroupKey const& first, Routing::GroupKey const& second)
{
    return first.service == second.service && first.availabilityZone != second.availabilityZone;
}

}

LoadExchange::LoadExchange(
    RoutingTableOwner& routing, ControlPlane& controlPlane, DaemonSettings const& settings, Core::Instant now)
    : m_routing(routing)
    , m_controlPlane(controlPlane)
    , m_vmName(settings.vmName)
    , m_scheduler(measurementLimits(settings), now)
{
}

void LoadExchange::tick(Core::Instant now)
{
    auto const table = m_routing.current();
    std::vector<Routing::LoadReport> reports;
    {
        std::lock_guard const lock(m_mutex);
        if (table != m_table) {
            updateSiblings(*table);
            m_table = table;
        }
        noteLoads(*table, now);
        reports = m_scheduler.due(now);
        m_scheduler.noteProcessorTime(Core::monotonicNow() - now, now);
    }
    for (auto const& report : reports)
        send(report);
}

void LoadExchange::updateSiblings(RoutingTable const& table)
{
    for (auto const& [service, zones] : table.services) {
        forEachShard(zones, [&, &zones = zones](ShardRoute const& shard) {
            std::vector<std::string> daemons;
            std::vector<Routing::GroupKey> siblings;
            forEachShard(zones, [&](ShardRoute const& other) {
                if (!isSibling(shard.dispatcher->key(), other.dispatcher->key()))
                    return;
                siblings.push_back(other.dispatcher->key());
                if (other.home && std::ranges::find(daemons, other.home->name) == daemons.end())
                    daemons.push_back(other.home->name);
            });
            shard.dispatcher->setSiblings(siblings);
            m_scheduler.setSiblings(shard.dispatcher->key(), shard.home ? std::vector<std::string> {} : daemons);
        });
    }
}

void LoadExchange::noteLoads(RoutingTable const& table, Core::Instant now)
{
    for (auto const& [service, zones] : table.services) {
        if (zones.size() < 2)
            continue;
        forEachShard(zones, [&, &zones = zones](ShardRoute const& shard) {
            if (shard.home)
                return;
            auto const& key = shard.dispatcher->key();
            auto const load = shard.dispatcher->load(now);
            m_scheduler.noteLoad(key, load);
            // This daemon may be the home of several groups of the service.
            forEachShard(zones, [&](ShardRoute const& other) {
                if (!other.home && isSibling(key, other.dispatcher->key()))
                    other.dispatcher->noteSiblingLoad(key, load, now);
            });
        });
    }
}

void LoadExchange::send(Routing::LoadReport const& report)
{
    for (auto const& entry : report.entries) {
        LoadNotice const notice { entry.group.service, entry.group.availabilityZone, entry.group.shard, m_vmName,
            entry.load.inFlight, entry.load.queued, entry.load.slots };
        m_controlPlane.reportLoad(notice, { report.daemon });
    }
}

void LoadExchange::noteReceived(LoadNotice const& notice, Core::Instant now)
{
    Routing::GroupKey const key { notice.service, notice.availabilityZone, notice.shard };
    Routing::GroupLoad const load { notice.slots, notice.inFlight, notice.queued };
    auto const table = m_routing.current();
    auto const found = table->services.find(notice.service);
    if (found == table->services.end())
        return;
    forEachShard(found->second, [&](ShardRoute const& shard) {
        if (!shard.home && isSibling(key, shard.dispatcher->key()))
            shard.dispatcher->noteSiblingLoad(key, load, now);
    });
    std::lock_guard const lock(m_mutex);
    m_scheduler.noteReceived(notice.home, { m_vmName, { { key, load } } }, now);
}

}
