#pragma once

#include <LibCore/Error.h>
#include <LibHTTP/Message.h>
#include <string>

namespace Comfreysail::HTTP {

struct ErrorResponse {
    ResponseHead head;
    std::string body;
};

/// Builds the response for an error from the table in LibCore. The outcome is a parameter, because a request that an
/// earlier attempt may have run must not be reported as not-run after a later error whose own outcome is not-run.
ErrorResponse errorResponse(Core::Error const&, Core::RequestOutcome);

}
