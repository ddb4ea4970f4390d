#pragma once

#include <cstdint>

namespace Comfreysail::Routing {

/// What this daemon knows about the warmth of a target.
enum class Knowledge : uint8_t {
    Unknown, ///< Neither used nor observed by this daemon.
    Cold,    ///< New, restarted, or found cold.
    Warm,
};

}
