#pragma once

#include <string>

namespace Comfreysail::Routing {

/// The target that was selected for a request.
struct Pick {
    std::string target;

    /// True if pooled connections to the target must not be used, because it has not answered since it was added, or
    /// its last connection was lost or timed out.
    bool connectFresh { false };

    bool operator==(Pick const&) const = default;
};

}
