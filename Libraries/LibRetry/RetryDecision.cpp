#include <LibRetry/RetryDecision.h>

namespace Comfreysail::Retry {

using Core::RetryRule;

namespace {

RetryReason reasonAgainstRetry(FailedAttempt const& failed, Core::Instant now)
{
    auto const rule = Core::errorRule(failed.error).retry;
    if (rule == RetryRule::Never)
        return RetryReason::ErrorNotRetryable;
    if (failed.isFromDeeperLayer)
        return RetryReason::DeeperLayerDecided;
    if (failed.hasAnswerStarted)
        return RetryReason::AnswerStarted;
    if (rule == RetryRule::IfIdempotent && !failed.isIdempotent)
        return RetryReason::NotIdempotent;
    if (!failed.isBodyReplayable)
        return RetryReason::BodyNotReplayable;
    if (failed.attempt > maxRetries)
        return RetryReason::TooManyAttempts;
    if (now + failed.expectedTime >= failed.deadline)
        return RetryReason::DeadlineTooNear;
    return RetryReason::Allowed;
}

}

RetryDecision decideRetry(FailedAttempt const& failed, RetryBudget& budget, Core::Instant now)
{
    auto const reason = reasonAgainstRetry(failed, now);
    if (reason != RetryReason::Allowed)
        return { .shouldRetry = false, .shouldLeaveZone = false, .reason = reason };
    if (!budget.tryTake())
        return { .shouldRetry = false, .shouldLeaveZone = false, .reason = RetryReason::BudgetExhausted };

    // Two failed sends in one availability zone count as a fault of the zone.
    bool const shouldLeaveZone = failed.isZoneSuspect || failed.attempt >= 2;
    return { .shouldRetry = true, .shouldLeaveZone = shouldLeaveZone, .reason = RetryReason::Allowed };
}

std::string_view retryReasonName(RetryReason reason)
{
    switch (reason) {
    case RetryReason::Allowed:
        return "allowed";
    case RetryReason::ErrorNotRetryable:
        return "error_not_retryable";
    case RetryReason::NotIdempotent:
        return "not_idempotent";
    case RetryReason::BodyNotReplayable:
        return "body_not_replayable";
    case RetryReason::AnswerStarted:
        return "answer_started";
    case RetryReason::DeeperLayerDecided:
        return "deeper_layer_decided";
    case RetryReason::TooManyAttempts:
        return "too_many_attempts";
    case RetryReason::DeadlineTooNear:
        return "deadline_too_near";
    case RetryReason::BudgetExhausted:
        return "budget_exhausted";
    }
    return "unknown";
}

}
