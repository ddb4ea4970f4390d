#pragma once

#include "DaemonSettings.h"
#include <LibHTTP/HTTP.h>

namespace Comfreysail::Daemon {

/// Options of a listener of this daemon at the address.
HTTP::ServerOptions serverOptions(DaemonSettings const&, ListenAddress const&);

/// Options of the connections to targets and other daemons.
HTTP::PoolOptions poolOptions(DaemonSettings const&);

}
