#include <LibHTTP/ErrorResponse.h>

#include <LibCore/Names.h>

namespace Comfreysail::HTTP {

ErrorResponse errorResponse(Core::Error const& error, Core::RequestOutcome outcome)
{
    auto const& rule = Core::errorRule(error.kind);
    ErrorResponse response;
    response.head.status = rule.status;
    response.head.fields.add("Content-Type", "text/plain");
    response.head.fields.add(Core::Header::error, rule.name);
    response.head.fields.add(Core::Header::outcome, Core::outcomeName(outcome));
    constexpr unsigned unauthorized = 401;
    // Required by RFC 9110, 15.5.2.
    if (rule.status == unauthorized)
        response.head.fields.add("WWW-Authenticate", "Token");
    response.body.append(rule.message);
    if (!error.detail.empty())
        response.body.append(" (").append(error.detail).append(")");
    response.body.append("\n");
    return response;
}

}
