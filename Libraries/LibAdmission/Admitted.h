#pragma once

#include <LibAdmission/Ticket.h>
#include <cstdint>

namespace Comfreysail::Admission {

/// A request that may be sent now. It counts as in flight until finish(), cancel() or putBack().
struct Admitted {
    Ticket ticket;
    uint64_t id { 0 };

    bool operator==(Admitted const&) const = default;
};

}
