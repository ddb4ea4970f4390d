#include <LibSettings/Route.h>

namespace Comfreysail::Settings {

std::string_view routeClassName(RouteClass routeClass)
{
    switch (routeClass) {
    case RouteClass::Lookup:
        return "lookup";
    case RouteClass::Order:
        return "order";
    case RouteClass::Download:
        return "download";
    }
    return "lookup";
}

bool Route::covers(std::string_view requestMethod, std::string_view path) const
{
    if (method != "*" && method != requestMethod)
        return false;
    if (!path.starts_with(pathPrefix))
        return false;
    if (pathPrefix.ends_with('/') || path.size() == pathPrefix.size())
        return true;
    auto const next = path[pathPrefix.size()];
    return next == '/' || next == '?';
}

}
