#pragma once

#include "ClaimCoordinator.h"
#include "ControlPlane.h"
#include "CrashTracker.h"
#include "DaemonSettings.h"
#include "RetryTable.h"
#include "RoutingTable.h"
#include "UpstreamClient.h"
#include <LibTelemetry/Telemetry.h>
#include <atomic>

namespace Comfreysail::Daemon {

/// The components that request handling uses. Owned by Daemon; every member is thread safe.
struct DaemonServices {
    DaemonSettings const& settings;
    ControlPlane& controlPlane;
    RoutingTableOwner& routing;
    UpstreamClient& upstream;
    RetryTable& retries;
    CrashTracker& crashes;
    ClaimCoordinator& claims;
    Telemetry::MetricRegistry& metrics;
    std::atomic<bool> refusesNewRequests { false };
    std::atomic<unsigned> activeRequests { 0 };
};

}
