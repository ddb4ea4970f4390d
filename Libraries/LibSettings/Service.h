#pragma once

#include <LibSettings/Route.h>
#include <LibSettings/SettingKey.h>
#include <LibSettings/Version.h>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Comfreysail::Settings {

struct Service {
    std::vector<std::string> hosts;
    std::map<std::string, Route, std::less<>> routes;
    std::map<std::string, Version, std::less<>> versions;
    LevelValues values;

    bool operator==(Service const&) const = default;

    /// The name and the route that covers the path with the longest prefix; with equal prefixes, a route that names the
    /// method is preferred to "*". nullptr if no route matches.
    std::pair<std::string const, Route> const* routeFor(std::string_view method, std::string_view path) const;
};

}
