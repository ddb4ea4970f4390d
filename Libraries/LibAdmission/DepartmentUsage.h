#pragma once

#include <LibCore/Time.h>
#include <cstddef>

namespace Comfreysail::Admission {

/// What a department uses of one AdmissionQueue, over all classes.
struct DepartmentUsage {
    unsigned weight { 1 };
    size_t queued { 0 };
    size_t inFlight { 0 };
    Core::Instant lastRequestAt;

    bool operator==(DepartmentUsage const&) const = default;
};

}
