#include "ListenerOptions.h"

#include <algorithm>

namespace Comfreysail::Daemon {

HTTP::ServerOptions serverOptions(DaemonSettings const& settings, ListenAddress const& address)
{
    HTTP::ServerOptions options;
    options.address = address.address;
    options.port = address.port;
    options.maxConnections = settings.limits.maxConnections;
    options.limits.maxHeaderBytes = settings.limits.maxHeaderBytes;
    options.limits.maxHeaderFields = settings.limits.maxHeaderFields;
    options.maxRequestsInProgress = settings.limits.maxRequestsInProgress;
    if (settings.placement == PlacementMode::AskTargets) {
        // In the other mode a body is passed on as it arrives, and a client may have its reasons to send it slowly.
        options.receivesBodiesFirst = true;
        options.minSendRate = settings.limits.minSendRate;
        options.minReadRate = settings.limits.minReadRate;
    }
    options.headerTimeout = settings.limits.headerTimeout;
    options.idleTimeout = settings.limits.idleTimeout;
    options.stallTimeout = settings.limits.stallTimeout;
    return options;
}

HTTP::PoolOptions poolOptions(DaemonSettings const& settings)
{
    HTTP::PoolOptions options;
    options.maxIdlePerEndpoint = settings.limits.maxIdlePerTarget;
    options.limits.maxHeaderBytes = settings.limits.maxHeaderBytes;
    return options;
}

HTTP::ProcessBudget processBudget(DaemonSettings const& settings)
{
    constexpr double bytesPerMebibyte = 1 << 20;
    auto const ofProcess = HTTP::descriptorLimitOfProcess();
    return HTTP::divideBudget(std::min(settings.maxDescriptors.value_or(ofProcess), ofProcess),
        static_cast<size_t>(settings.memoryMebibytes * bytesPerMebibyte));
}

}
