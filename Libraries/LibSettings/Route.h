#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Comfreysail::Settings {

/// Each class has its own limits, so that lookups do not wait behind downloads.
enum class RouteClass : uint8_t { Lookup, Order, Download };

inline constexpr size_t routeClassCount = 3;

/// "lookup", "order" or "download".
std::string_view routeClassName(RouteClass);

struct Route {
    std::string method; ///< An HTTP method, or "*" for any.
    std::string pathPrefix;
    RouteClass routeClass { RouteClass::Lookup };
    bool idempotent { false };

    bool operator==(Route const&) const = default;

    /// True if the method matches and the prefix matches the path up to a segment boundary: "/orders" covers
    /// "/orders/7" but not "/ordersheet".
    bool covers(std::string_view method, std::string_view path) const;
};

}
