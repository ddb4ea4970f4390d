#include <LibTraffic/RouteTable.h>

#include <algorithm>

namespace Comfreysail::Traffic {

std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::ranges::transform(name, name.begin(), [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character + ('a' - 'A')) : character;
    });
    return name;
}

RequestRoute const* findRoute(TrafficPlan const& plan, std::string_view host, std::string_view target)
{
    auto const name = normalizedHost(host);
    auto const path = target.substr(0, target.find('?'));
    RequestRoute const* best = nullptr;
    for (auto const& route : plan.routes) {
        bool const isMatch = route.host == name && path.starts_with(route.pathPrefix);
        if (isMatch && (!best || route.pathPrefix.size() > best->pathPrefix.size()))
            best = &route;
    }
    return best;
}

std::string const& chooseService(RequestRoute const& route, double uniform)
{
    double total = 0;
    for (auto const& share : route.shares)
        total += share.weight;
    double position = uniform * total;
    for (auto const& share : route.shares) {
        if (position < share.weight)
            return share.service;
        position -= share.weight;
    }
    return route.shares.back().service;
}

}
