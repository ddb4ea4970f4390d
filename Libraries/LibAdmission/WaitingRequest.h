#pragma once

#include <LibAdmission/QueuedRequest.h>
#include <LibAdmission/Ticket.h>

namespace Comfreysail::Admission {

/// A queued request with its ticket.
struct WaitingRequest {
    Ticket ticket;
    QueuedRequest request;

    bool operator==(WaitingRequest const&) const = default;
};

}
