#pragma once

#include <LibTraffic/TrafficPlan.h>
#include <cstdint>
#include <string_view>

namespace Comfreysail::Traffic {

/// What the head of a target's response says, in terms that decide what happens next.
struct AnswerFacts {
    unsigned status { 0 };
    bool saysNotRun { false };       ///< The target states that it did not run the request.
    bool hasSignature { false };     ///< The target's proof that the response is its own.
    bool isForThisRequest { false }; ///< It names this request's id.
    bool isEncoded { false };        ///< The body is not the target's body as it is.

    bool operator==(AnswerFacts const&) const = default;
};

enum class AnswerVerdict : uint8_t {
    Deliver,     ///< Goes to the caller unchanged.
    NotRun,      ///< The request did not run; another target may get it.
    OtherTarget, ///< As NotRun; the address belongs to another target.
    Failed,      ///< The target ran the request and failed. Goes to the caller when it is not sent again.
    Foreign,     ///< Belongs to another request: it is read and dropped, and this request's response is awaited.
    Invalid,     ///< No valid response; the request may have run.
};

/// Name for logs.
std::string_view verdictName(AnswerVerdict);

AnswerVerdict judgeAnswer(AnswerFacts const&);

/// True for statuses by which a response promises that the request did not run and will not run.
bool promisesNotRun(unsigned status);

}
