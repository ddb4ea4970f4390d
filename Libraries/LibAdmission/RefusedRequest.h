#pragma once

#include <LibAdmission/Ticket.h>
#include <LibCore/ErrorKind.h>
#include <cstdint>

namespace Comfreysail::Admission {

/// A queued request that is refused because its deadline passed (DeadlineExceededInQueue) or its place went to a
/// department below its share (DepartmentOverShare). It did not run.
struct RefusedRequest {
    Ticket ticket;
    uint64_t id { 0 };
    Core::ErrorKind reason { Core::ErrorKind::DeadlineExceededInQueue };

    bool operator==(RefusedRequest const&) const = default;
};

}
