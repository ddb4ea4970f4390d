#pragma once

#include "ToolContext.h"
#include <LibCore/Result.h>
#include <optional>
#include <string>
#include <vector>

namespace Comfreysail::Tool {

/// A daemon and what its admin port says.
struct DaemonStatus {
    std::string name; ///< From the daemon; the address until it has answered.
    HostPort address;
    std::optional<Core::Error> error; ///< Why there is no status.
    uint64_t revision { 0 };
    bool isReady { false };
};

/// The daemons from --daemon, or else the live VMs that the platform lists.
Core::Result<std::vector<DaemonStatus>> listDaemons(ToolContext const&);

/// Reads GET /status of every daemon: an object with the fields "name", "revision" and "ready".
void readStatus(ToolContext const&, std::vector<DaemonStatus>&, Core::Instant deadline);

}
