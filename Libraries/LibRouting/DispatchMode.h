#pragma once

#include <cstdint>

namespace Comfreysail::Routing {

/// Who this daemon is for a target group.
enum class DispatchMode : uint8_t {
    Home,     ///< The only dispatcher of the group: its in-flight counts are exact.
    Fallback, ///< One of several dispatchers while the home is unreachable: it knows its own sends only.
};

}
