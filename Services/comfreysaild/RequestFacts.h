#pragma once

#include "EntryRequest.h"

namespace Comfreysail::Daemon {

/// What placement and the decision under shortage depend on of a request, which may be one that was not received.
struct RequestFacts {
    Traffic::RequestRoute const* route { nullptr }; ///< nullptr until it is known.
    std::string_view service;
    Access::Department const* department { nullptr }; ///< nullptr if the request has none.
    unsigned rank { 0 };
    Core::Instant arrivedAt;
    Core::Duration earlierWait {};
    std::optional<Core::Instant> callerDeadline;
    unsigned sends { 0 };
    double uniform { 0 };
    double sheddingDraw { 0 };
};

/// The views and pointers refer to the request.
inline RequestFacts factsOf(EntryRequest const& request)
{
    return { request.route, request.service, request.department, request.rank, request.arrivedAt, request.earlierWait,
        request.callerDeadline, request.sends, request.uniform, request.sheddingDraw };
}

}
