#pragma once

#include <LibAdmission/RequestClass.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Comfreysail::Admission {

/// A request that asks for admission.
struct QueuedRequest {
    uint64_t id { 0 }; ///< Chosen by the caller and returned unchanged.
    std::string department;
    RequestClass requestClass { RequestClass::Lookup };
    unsigned weight { 1 };   ///< Share of the department in its class, relative to other departments; 0 counts as 1.
    Core::Instant deadline;  ///< When waiting becomes useless: the earlier of queue timeout and request deadline.
    bool maySpill { false }; ///< True if another home may take it: it was not forwarded between homes yet.

    bool operator==(QueuedRequest const&) const = default;
};

}
