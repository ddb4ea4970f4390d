#pragma once

#include <LibCore/Time.h>

namespace Comfreysail::Admission {

struct DepartmentUsageOptions {
    /// Time constant of the mean number of requests in flight. The default covers some hundred requests of a busy
    /// group. With a shorter one, departments would exceed their share by chance.
    Core::Duration averagingTime { std::chrono::milliseconds(300) };
    /// A department without requests for this long is no longer counted when shares are computed.
    Core::Duration idleTimeout { std::chrono::seconds(1) };

    bool operator==(DepartmentUsageOptions const&) const = default;
};

}
