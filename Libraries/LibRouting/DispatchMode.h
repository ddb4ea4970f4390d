#pragma once

#include <cstdint>

namespace Comfreysail::Routing {

/// The role of this daemon for a target group.
enum class DispatchMode : uint8_t {
    Home,     ///< The only dispatcher of the group, so its in-flight counts are exact.
    Fallback, ///< One of several dispatchers while the home is unreachable; it counts only its own sends.
};

}
