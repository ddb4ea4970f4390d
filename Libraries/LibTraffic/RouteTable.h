#pragma once

#include <LibTraffic/TrafficPlan.h>
#include <string_view>

namespace Comfreysail::Traffic {

/// The route of the host whose path prefix is the longest that begins the path; nullptr without one. `target` is the
/// request target, whose query is ignored. `host` is the Host header, whose port and case are ignored.
RequestRoute const* findRoute(TrafficPlan const&, std::string_view host, std::string_view target);

/// The service that gets the request. `uniform` is a random number in [0, 1).
std::string const& chooseService(RequestRoute const&, double uniform);

/// Host name in lower case, without a port.
std::string normalizedHost(std::string_view host);

}
