#pragma once

#include <LibHTTP/HTTP.h>
#include <LibTraffic/Traffic.h>
#include <optional>
#include <vector>

namespace Comfreysail::Daemon {

/// The daemons in the member list, in the order of their names.
std::vector<Traffic::RelayMember> membersOf(Traffic::SharedRows const&);

/// Parses "address:port"; nullopt if it is invalid.
std::optional<HTTP::Endpoint> parseEndpoint(std::string_view);

}
