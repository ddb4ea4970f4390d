#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Routing {

/// An availability zone in which a service has targets.
struct ZoneCandidate {
    std::string name;
    std::string region;
    bool isInService { true }; ///< False if the operators took the zone out of service.
    unsigned slots { 0 };      ///< Slots of the service's targets in the zone.

    bool operator==(ZoneCandidate const&) const = default;
};

/// Returns the zone whose home gets a request first, or nullopt if no zone is left. That is the daemon's own zone while
/// it is in service and has slots: its home spills excess requests to other zones, and a zone that returns gets its
/// requests back as its targets warm up. Otherwise the requests are spread over the other zones of the region, or over
/// all zones if the region has none in service, in proportion to their slots, so that no single zone takes the whole
/// load.
std::optional<std::string> chooseAvailabilityZone(
    std::string const& ownZone, std::vector<ZoneCandidate> const&, std::string_view requestId);

}
