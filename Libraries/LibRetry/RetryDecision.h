#pragma once

#include <LibCore/Core.h>
#include <LibRetry/RetryBudget.h>

namespace Comfreysail::Retry {

/// Maximum number of retries of one request.
inline constexpr unsigned maxRetries = 2;

/// A request one of whose sends has failed.
struct FailedAttempt {
    Core::ErrorKind error { Core::ErrorKind::Internal };
    unsigned attempt { 1 };          ///< Number of the failed send; 1 for the first.
    bool isIdempotent { false };     ///< From the route's settings.
    bool isBodyReplayable { true };  ///< False if the body was streamed and not kept.
    bool hasAnswerStarted { false }; ///< True if response bytes were already forwarded to the caller.
    /// The response has a Comfreysail-Error header, so a daemon closer to the target has already decided.
    bool isFromDeeperLayer { false };
    bool isZoneSuspect { false };      ///< Other targets of the same availability zone are failing as well.
    Core::Instant deadline;            ///< Absolute deadline of the request.
    Core::Duration expectedTime { 0 }; ///< Time that a send usually takes; 0 if it is not known.

    bool operator==(FailedAttempt const&) const = default;
};

/// Why a request is retried or not. Also written to logs, by retryReasonName().
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
    bool shouldLeaveZone { false }; ///< The retry goes to another availability zone.
    RetryReason reason { RetryReason::ErrorNotRetryable };

    bool operator==(RetryDecision const&) const = default;
};

/// Decides whether a failed request is retried. Takes a token from the budget only if it is.
RetryDecision decideRetry(FailedAttempt const&, RetryBudget&, Core::Instant now);

}
