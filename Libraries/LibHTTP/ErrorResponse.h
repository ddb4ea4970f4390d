#pragma once

#include <LibCore/Error.h>
#include <LibHTTP/Message.h>
#include <string>

namespace Comfreysail::HTTP {

struct ErrorResponse {
    ResponseHead head;
    std::string body;
};

/// The response that belongs to an error kind (LibCore's table). The outcome is the caller's, because a request whose
/// earlier send may have run must not be reported as not-run by a later error that by itself would be.
ErrorResponse errorResponse(Core::Error const&, Core::RequestOutcome);

}
