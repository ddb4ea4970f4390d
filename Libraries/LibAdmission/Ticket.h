#pragma once

#include <compare>
#include <cstdint>

namespace Comfreysail::Admission {

/// Names a request inside one AdmissionQueue, from enqueue() to finish(), cancel() or expiry.
struct Ticket {
    uint64_t value { 0 };

    auto operator<=>(Ticket const&) const = default;
};

}
