#pragma once

#include <cstdint>

namespace Comfreysail::Admission {

/// Identifies a request within one AdmissionQueue from enqueue() until finish(), cancel() or its refusal by
/// takeRefused().
struct Ticket {
    uint64_t value { 0 };

    bool operator==(Ticket const&) const = default;
    bool operator<(Ticket const& other) const { return value < other.value; }
};

}
