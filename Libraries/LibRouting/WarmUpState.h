#pragma once

#include <cstdint>

namespace Comfreysail::Routing {

/// What this daemon knows about whether a target is warm.
enum class WarmUpState : uint8_t {
    Unknown, ///< This daemon has neither used nor observed the target.
    Cold,    ///< New, restarted, or observed to be cold.
    Warm,
};

}
