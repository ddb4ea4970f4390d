#pragma once

#include <LibTraffic/TrafficPlan.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Overload {

/// The ranks of the routes that share each service in one plan.
class ServiceRanks {
public:
    ServiceRanks() = default;
    explicit ServiceRanks(Traffic::TrafficPlan const&);

    /// Returns how many ranks of the service's routes are more urgent.
    unsigned distance(std::string_view service, unsigned rank) const;

    /// Returns true if routes of different ranks share the service.
    bool hasSeveral(std::string_view service) const;

    /// Returns the names of the service's routes of this rank.
    std::vector<std::string> const& routesOf(std::string_view service, unsigned rank) const;

private:
    std::map<std::string, std::map<unsigned, std::vector<std::string>>, std::less<>> m_services;
};

}
