#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace Comfreysail::Admission {

/// Class of a route, from the settings. Each class has its own queues and its own limit on requests in flight.
enum class RequestClass : uint8_t {
    Lookup,
    Order,
    Download,
};

inline constexpr size_t requestClassCount = 3;

inline constexpr std::array<RequestClass, requestClassCount> requestClasses { RequestClass::Lookup, RequestClass::Order,
    RequestClass::Download };

}
