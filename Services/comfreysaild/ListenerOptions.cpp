#include "ListenerOptions.h"

namespace Comfreysail::Daemon {

HTTP::ServerOptions serverOptions(DaemonSettings const& settings, ListenAddress const& address)
{
    HTTP::ServerOptions options;
    options.address = address.address;
    options.port = address.port;
    options.maxConnections = settings.limits.maxConnections;
    options.limits.maxHeaderBytes = settings.limits.maxHeaderBytes;
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

}
