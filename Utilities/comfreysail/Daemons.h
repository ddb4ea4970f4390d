#pragma once

#include "ToolContext.h"
#include <LibCore/Result.h>
#include <optional>
#include <string>
#include <vector>

namespace Comfreysail::Tool {

/// A daemon and the status that its admin port returned.
struct DaemonStatus {
    std::string name; ///< As the daemon reports it; until it has answered, the VM's name or the address.
    HostPort address;
    std::optional<Core::Error> error; ///< Why the last status could not be read.
    uint64_t revision { 0 };
    bool isReady { false };
};

/// Returns the daemons given with --daemon. If there are none, returns one daemon for each live VM in the platform's VM
/// list.
Core::Result<std::vector<DaemonStatus>> listDaemons(ToolContext const&);

/// Calls GET /status on every daemon and stores each result in its DaemonStatus. The response is a JSON object with the
/// fields "name", "revision" and "ready".
void readStatus(ToolContext const&, std::vector<DaemonStatus>&, Core::Instant deadline);

}
