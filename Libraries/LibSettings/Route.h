#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Comfreysail::Settings {

/// Classes have separate limits, so that lookups do not wait behind downloads.
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

    /// Whether the prefix covers the path at a segment boundary: "/orders" covers "/orders/7", not "/ordersheet".
    bool covers(std::string_view method, std::string_view path) const;
};

}
