#pragma once

#include <cstdint>

namespace Comfreysail::Routing {

/// What this daemon knows about whether a target is warm.
enum class WarmUpState : uint8_t {
    Unknown, ///< Neither used nor observed by this daemon.
    Cold,    ///< New, restarted, or found cold.
    Warm,
};

}
