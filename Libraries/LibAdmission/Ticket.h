#pragma once

#include <cstdint>

namespace Comfreysail::Admission {

/// Names a request inside one AdmissionQueue, from enqueue() to finish(), cancel() or expiry.
struct Ticket {
    uint64_t value { 0 };

    bool operator==(Ticket const&) const = default;
    bool operator<(Ticket const& other) const { return value < other.value; }
};

}
