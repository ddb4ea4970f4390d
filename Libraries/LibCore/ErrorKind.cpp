#include <LibCore/ErrorKind.h>

namespace Comfreysail::Core {

namespace {

using Kind = ErrorKind;
using Outcome = RequestOutcome;
using Retry = RetryRule;

constexpr std::array<ErrorRule, errorKindCount> rules { {
    { Kind::MalformedRequest, "malformed_request", 400, Outcome::NotRun, Retry::Never,
        "The request is not valid HTTP/1.1." },
    { Kind::HeaderTooLarge, "header_too_large", 431, Outcome::NotRun, Retry::Never,
        "The request head is larger than the limit." },
    { Kind::BodyTooLarge, "body_too_large", 413, Outcome::NotRun, Retry::Never,
        "The request body is larger than the limit." },
    { Kind::InvalidIdempotencyKey, "invalid_idempotency_key", 400, Outcome::NotRun, Retry::Never,
        "Idempotency-Key must be 1 to 128 visible ASCII characters." },
    { Kind::InvalidDeadline, "invalid_deadline", 400, Outcome::NotRun, Retry::Never,
        "Comfreysail-Timeout-Ms must be a whole number from 1 to 86400000." },
    { Kind::DepthExceeded, "depth_exceeded", 400, Outcome::NotRun, Retry::Never, "Calls are nested deeper than 11." },
    { Kind::HopsExceeded, "hops_exceeded", 508, Outcome::NotRun, Retry::Never,
        "The request was forwarded between daemons too often." },
    { Kind::UnknownService, "unknown_service", 404, Outcome::NotRun, Retry::Never, "No service has this host name." },
    { Kind::UnknownDepartment, "unknown_department", 403, Outcome::NotRun, Retry::Never,
        "The department is not known or is not served here." },
    { Kind::UnknownRoute, "unknown_route", 404, Outcome::NotRun, Retry::Never,
        "No route of the service matches the method and path." },
    { Kind::ApiKeyMissing, "api_key_missing", 401, Outcome::NotRun, Retry::Never,
        "The request has no Authorization field with an API key." },
    { Kind::ApiKeyMalformed, "api_key_malformed", 401, Outcome::NotRun, Retry::Never,
        "Authorization must be Token and one key of visible ASCII characters." },
    { Kind::ApiKeyRepeated, "api_key_repeated", 401, Outcome::NotRun, Retry::Never,
        "The request has more than one Authorization field." },
    { Kind::ApiKeyTooLong, "api_key_too_long", 401, Outcome::NotRun, Retry::Never,
        "The API key is longer than 256 bytes." },
    { Kind::ApiKeyUnknown, "api_key_unknown", 401, Outcome::NotRun, Retry::Never, "No department has this API key." },
    { Kind::QueueFull, "queue_full", 503, Outcome::NotRun, Retry::Never, "The queue of the service is full." },
    { Kind::DepartmentOverShare, "department_over_share", 429, Outcome::NotRun, Retry::Never,
        "The department uses more than its share of the queue." },
    { Kind::DeadlineExceededInQueue, "deadline_exceeded_in_queue", 504, Outcome::NotRun, Retry::Never,
        "The deadline passed before the request was sent." },
    { Kind::DeadlineExceeded, "deadline_exceeded", 504, Outcome::Unknown, Retry::Never,
        "The deadline passed before the answer arrived." },
    { Kind::NoTargetAvailable, "no_target_available", 503, Outcome::NotRun, Retry::Never,
        "No target can take the request now." },
    { Kind::HomeUnavailable, "home_unavailable", 502, Outcome::NotRun, Retry::Always,
        "The daemon that dispatches this service could not be reached." },
    { Kind::ConnectFailed, "connect_failed", 502, Outcome::NotRun, Retry::Always,
        "No connection to a target could be opened." },
    { Kind::TargetShedRequest, "target_shed_request", 503, Outcome::NotRun, Retry::Always,
        "The target refused the request without running it." },
    { Kind::StartDeadlinePassed, "start_deadline_passed", 504, Outcome::NotRun, Retry::Never,
        "The target did not start the request before its start deadline." },
    { Kind::ConnectionLost, "connection_lost", 502, Outcome::Unknown, Retry::IfIdempotent,
        "The connection to the target ended before the whole answer arrived." },
    { Kind::InvalidTargetAnswer, "invalid_target_answer", 502, Outcome::Unknown, Retry::IfIdempotent,
        "The target's answer is not valid HTTP/1.1." },
    { Kind::ClaimStoreUnavailable, "claim_store_unavailable", 503, Outcome::NotRun, Retry::Never,
        "The idempotency key could not be recorded, so the request was not sent." },
    { Kind::ClaimInProgress, "claim_in_progress", 409, Outcome::Unknown, Retry::Never,
        "A request with the same idempotency key is in progress." },
    { Kind::ClaimOutcomeUnknown, "claim_outcome_unknown", 409, Outcome::Unknown, Retry::Never,
        "A request with the same idempotency key was sent and its outcome is not known." },
    { Kind::IdempotencyKeyReused, "idempotency_key_reused", 422, Outcome::NotRun, Retry::Never,
        "The idempotency key was used before for a different request." },
    { Kind::RequestQuarantined, "request_quarantined", 503, Outcome::NotRun, Retry::Never,
        "Earlier copies of this request ended the targets that ran them." },
    { Kind::RetryBudgetExhausted, "retry_budget_exhausted", 503, Outcome::Unknown, Retry::Never,
        "The retry budget of the service is used up." },
    { Kind::ShuttingDown, "shutting_down", 503, Outcome::NotRun, Retry::Always, "The daemon is shutting down." },
    { Kind::Isolated, "isolated", 503, Outcome::NotRun, Retry::Always,
        "The daemon cannot learn the settings in force." },
    { Kind::SettingsUnavailable, "settings_unavailable", 503, Outcome::NotRun, Retry::Always,
        "The daemon has no settings yet." },
    { Kind::CallerGone, "caller_gone", 499, Outcome::Unknown, Retry::Never, "The caller closed its connection." },
    { Kind::InvalidSettings, "invalid_settings", 422, Outcome::NotRun, Retry::Never, "The settings are not valid." },
    { Kind::RevisionConflict, "revision_conflict", 409, Outcome::NotRun, Retry::Never,
        "Another change was accepted first." },
    { Kind::StoreUnavailable, "store_unavailable", 503, Outcome::NotRun, Retry::Always,
        "The platform's store could not be reached." },
    { Kind::StoreOutcomeUnknown, "store_outcome_unknown", 503, Outcome::Unknown, Retry::Never,
        "The store's answer was lost, so the write may have taken effect." },
    { Kind::RowNotFound, "row_not_found", 404, Outcome::NotRun, Retry::Never, "The row does not exist." },
    { Kind::PeerUnavailable, "peer_unavailable", 503, Outcome::NotRun, Retry::Always,
        "The peer could not be reached." },
    { Kind::MalformedMessage, "malformed_message", 400, Outcome::NotRun, Retry::Never,
        "The message could not be decoded." },
    { Kind::Internal, "internal", 500, Outcome::Unknown, Retry::Never, "An internal error occurred." },
} };

constexpr bool isOrderedByKind()
{
    for (size_t index = 0; index < rules.size(); ++index) {
        if (static_cast<size_t>(rules[index].kind) != index)
            return false;
    }
    return true;
}

static_assert(isOrderedByKind(), "errorRule() indexes the table by kind.");

}

ErrorRule const& errorRule(ErrorKind kind) { return rules[static_cast<size_t>(kind)]; }

std::array<ErrorRule, errorKindCount> const& errorRules() { return rules; }

std::string_view errorName(ErrorKind kind) { return errorRule(kind).name; }

std::string_view outcomeName(RequestOutcome outcome)
{
    return outcome == RequestOutcome::NotRun ? "not-run" : "unknown";
}

}
