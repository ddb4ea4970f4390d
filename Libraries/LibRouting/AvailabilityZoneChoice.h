#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Routing {

/// An availability zone in which a service has targets.
struct ZoneOption {
    std::string name;
    std::string region;
    bool isIn { true };   ///< Not taken out of service by the operators.
    unsigned slots { 0 }; ///< Of the service's targets in the zone.

    bool operator==(ZoneOption const&) const = default;
};

/// The zone whose home a request goes to first. That is the daemon's own zone while it is in service and has slots:
/// its home spills what it cannot bear, and a zone that returns gets its work back as its targets ramp up. Otherwise
/// the requests are spread over the other zones of the region, or over all zones when it has none in service, in
/// proportion to their slots, so that no single neighbour takes the whole load. Returns nullopt when no zone is left.
std::optional<std::string> chooseAvailabilityZone(
    std::string const& ownZone, std::vector<ZoneOption> const&, std::string_view requestId);

}
