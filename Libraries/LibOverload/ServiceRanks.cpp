#include <LibOverload/ServiceRanks.h>

#include <iterator>

namespace Comfreysail::Overload {

ServiceRanks::ServiceRanks(Traffic::TrafficPlan const& plan)
{
    for (auto const& route : plan.routes) {
        for (auto const& share : route.shares) {
            if (share.weight > 0)
                m_services[share.service][route.priority].push_back(route.name);
        }
    }
}

unsigned ServiceRanks::distance(std::string_view service, unsigned rank) const
{
    auto const found = m_services.find(service);
    if (found == m_services.end())
        return 0;
    auto const& ranks = found->second;
    return static_cast<unsigned>(std::distance(ranks.begin(), ranks.lower_bound(rank)));
}

bool ServiceRanks::hasSeveral(std::string_view service) const
{
    auto const found = m_services.find(service);
    return found != m_services.end() && found->second.size() > 1;
}

std::vector<std::string> const& ServiceRanks::routesOf(std::string_view service, unsigned rank) const
{
    static std::vector<std::string> const none;
    auto const found = m_services.find(service);
    if (found == m_services.end())
        return none;
    auto const routes = found->second.find(rank);
    return routes == found->second.end() ? none : routes->second;
}

}
