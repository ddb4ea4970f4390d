#pragma once

#include <LibAdmission/QueuedRequest.h>
#include <LibAdmission/Ticket.h>

namespace Comfreysail::Admission {

/// A request in a queue.
struct WaitingRequest {
    Ticket ticket;
    QueuedRequest request;

    bool operator==(WaitingRequest const&) const = default;
};

}
