#pragma once

#include <LibTraffic/TrafficPlan.h>
#include <string_view>

namespace Comfreysail::Traffic {

/// Returns the route of the host with the longest path prefix that matches the path, or nullptr. `target` is the
/// request target; its query is ignored. `host` is the Host header; its port and case are ignored.
RequestRoute const* findRoute(TrafficPlan const&, std::string_view host, std::string_view target);

/// Chooses the service for a request at random according to the weights of the route. `uniform` is a random number in
/// [0, 1).
std::string const& chooseService(RequestRoute const&, double uniform);

/// Returns the host name in lower case and without a port.
std::string normalizedHost(std::string_view host);

}
