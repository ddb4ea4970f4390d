#pragma once

#include <LibTraffic/TrafficPlan.h>
#include <cstdint>
#include <string_view>

namespace Comfreysail::Traffic {

/// Whose request id a response carries.
enum class ResponseId : uint8_t {
    OfThisRequest,
    OfAnotherRequest,
    None,
};

/// The properties of a target's response head that decide how the response is handled.
struct ResponseFacts {
    unsigned status { 0 };
    bool statesNotRun { false }; ///< The target states that it did not run the request.
    bool hasSignature { false }; ///< The response carries the signature header of the target.
    ResponseId id { ResponseId::None };
    bool isEncoded { false };          ///< The body has a Content-Encoding, so it is not the target's original body.
    bool isConnectionReused { false }; ///< The connection carried another exchange before.

    bool operator==(ResponseFacts const&) const = default;
};

enum class ResponseVerdict : uint8_t {
    Deliver,     ///< Forwarded to the caller unchanged.
    NotRun,      ///< The target did not run the request, so another target may get it.
    OtherTarget, ///< Like NotRun; the address now belongs to another target.
    Failed,      ///< The target ran the request and failed. Forwarded to the caller unless the request is retried.
    Foreign,     ///< Answers another request. It is read and discarded; the response to this request is still awaited.
    Invalid,     ///< Not a valid response; the request may have run.
};

/// Returns the name that log fields use.
std::string_view verdictName(ResponseVerdict);

ResponseVerdict classifyResponse(ResponseFacts const&);

/// Returns true for statuses that tell a caller that the request did not run and will not run.
bool impliesNotRun(unsigned status);

}
