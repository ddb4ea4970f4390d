#include <LibSettings/Service.h>

namespace Comfreysail::Settings {

std::pair<std::string const, Route> const* Service::routeFor(std::string_view method, std::string_view path) const
{
    std::pair<std::string const, Route> const* best = nullptr;
    auto const isBetter = [&](Route const& route) {
        if (!best || route.pathPrefix.size() != best->second.pathPrefix.size())
            return !best || route.pathPrefix.size() > best->second.pathPrefix.size();
        return best->second.method == "*" && route.method != "*";
    };
    for (auto const& entry : routes) {
        if (entry.second.covers(method, path) && isBetter(entry.second))
            best = &entry;
    }
    return best;
}

}
