#pragma once

#include <LibAdmission/RequestClass.h>
#include <array>
#include <cstddef>

namespace Comfreysail::Admission {

/// Limits of one AdmissionQueue. Percentages refer to the capacity, which is the number of requests in flight plus the
/// free capacity of the target group; it counts one request ahead for each slot, so 50 percent of it are the slots.
struct AdmissionOptions {
    /// Most requests that wait at the same time, over all classes.
    size_t queueLimit { 256 };

    /// Largest part of the capacity that requests of each class may occupy, in the order of RequestClass. At least one
    /// request of each class is always allowed. Downloads may occupy half of the slots.
    std::array<unsigned, requestClassCount> classPercent { 100, 100, 25 };

    /// While this part of the capacity is in use, a department that holds more than its share of it gets nothing more
    /// as long as other departments are active. The rest stays free for their next requests, so that these wait for
    /// their fair turn only and not behind requests that were sent ahead.
    unsigned overSharePercent { 45 };

    bool operator==(AdmissionOptions const&) const = default;
};

}
