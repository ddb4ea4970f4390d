#pragma once

#include "ControlPlane.h"
#include "RoutingTable.h"
#include <LibRouting/Routing.h>
#include <mutex>

namespace Comfreysail::Daemon {

/// Exchanges load reports between the homes of a service's groups, so that an overloaded home can send requests to
/// another availability zone. Thread safe.
class LoadExchange {
public:
    LoadExchange(RoutingTableOwner&, ControlPlane&, DaemonSettings const&, Core::Instant now);

    /// Sends the reports that are due. Call it every few milliseconds.
    void tick(Core::Instant now);

    /// Handles a load report from another daemon.
    void noteReceived(LoadNotice const&, Core::Instant now);

private:
    void updateSiblings(RoutingTable const&);
    void noteLoads(RoutingTable const&, Core::Instant now);
    void send(Routing::LoadReport const&);

    RoutingTableOwner& m_routing;
    ControlPlane& m_controlPlane;
    std::string const m_vmName;
    std::mutex m_mutex; ///< Lock order: before the locks of groups.
    Routing::LoadReportScheduler m_scheduler;
    std::shared_ptr<RoutingTable const> m_table;
};

}
