#pragma once

#include <LibAdmission/RequestClass.h>
#include <array>
#include <cstddef>

namespace Comfreysail::Admission {

/// Limits of one AdmissionQueue. Percentages refer to the capacity: the number of requests in flight plus the free
/// capacity of the target group. The capacity includes one request that is sent ahead for each slot, so the slots are
/// 50 percent of it.
struct AdmissionOptions {
    /// Maximum number of queued requests, over all classes.
    size_t queueLimit { 256 };

    /// Maximum part of the capacity that requests of each class may occupy, in the order of RequestClass. At least one
    /// request of each class is always allowed. 25 percent for downloads is half of the slots.
    std::array<unsigned, requestClassCount> classPercent { 100, 100, 25 };

    /// While at least this part of the capacity is in use, a department that uses more than its share of it gets
    /// nothing more as long as other departments are active. The rest stays free for their next requests, so that these
    /// wait only for their fair turn and not behind requests that were sent ahead.
    unsigned overSharePercent { 45 };

    bool operator==(AdmissionOptions const&) const = default;
};

}
