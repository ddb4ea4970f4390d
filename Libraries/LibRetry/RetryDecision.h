#pragma once

#include <LibCore/Core.h>
#include <LibRetry/RetryBudget.h>

namespace Comfreysail::Retry {

/// Sends of one request after the first one.
inline constexpr unsigned maxRetries = 2;

/// What is known about a request when one of its sends has failed.
struct FailedAttempt {
    Core::ErrorKind error { Core::ErrorKind::Internal };
    unsigned attempt { 1 };          ///< Number of the failed send; 1 for the first.
    bool isIdempotent { false };     ///< From the route's settings.
    bool isBodyReplayable { true };  ///< False when the body was streamed and is not kept.
    bool hasAnswerStarted { false }; ///< True when response bytes have been passed on to the caller.
    bool isFromDeeperLayer {
        false
    };                            ///< The response carried Comfreysail-Error, so a deeper daemon has decided already.
    bool isZoneSuspect { false }; ///< Other targets of the same availability zone fail as well.
    Core::Instant deadline;       ///< Absolute deadline of the request.
    Core::Duration expectedTime { 0 }; ///< Time that a send usually takes, in microseconds; 0 when it is not known.

    bool operator==(FailedAttempt const&) const = default;
};

/// Why a request is sent again or not; also a log field.
enum class RetryReason : uint8_t {
    Allowed,
    ErrorNotRetryable,
    NotIdempotent,
    BodyNotReplayable,
    AnswerStarted,
    DeeperLayerDecided,
    TooManyAttempts,
    DeadlineTooNear,
    BudgetExhausted,
};

std::string_view retryReasonName(RetryReason);

struct RetryDecision {
    bool shouldRetry { false };
    bool shouldLeaveZone { false }; ///< The next send goes to another availability zone.
    RetryReason reason { RetryReason::ErrorNotRetryable };

    bool operator==(RetryDecision const&) const = default;
};

/// Decides whether a failed request is sent again. Takes a token from the budget only when the answer is yes.
RetryDecision decideRetry(FailedAttempt const&, RetryBudget&, Core::Instant now);

}
