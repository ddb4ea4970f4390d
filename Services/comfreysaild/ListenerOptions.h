#pragma once

#include "DaemonSettings.h"
#include <LibHTTP/HTTP.h>

namespace Comfreysail::Daemon {

/// Options for a listener of this daemon at the given address.
HTTP::ServerOptions serverOptions(DaemonSettings const&, ListenAddress const&);

/// The budget of a daemon that asks its targets for their load. Never more descriptors than the process may open.
HTTP::ProcessBudget processBudget(DaemonSettings const&);

/// Options for the pool of connections to targets and other daemons.
HTTP::PoolOptions poolOptions(DaemonSettings const&);

}
