#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Comfreysail::Core {

/// All error kinds. errorRule() has one row for each.
enum class ErrorKind : uint8_t {
    MalformedRequest,
    HeaderTooLarge,
    BodyTooLarge,
    InvalidIdempotencyKey,
    InvalidDeadline,
    DepthExceeded,
    HopsExceeded,
    UnknownService,
    UnknownDepartment,
    UnknownRoute,
    ApiKeyMissing,
    ApiKeyMalformed,
    ApiKeyRepeated,
    ApiKeyTooLong,
    ApiKeyUnknown,
    QueueFull,
    DepartmentOverShare,
    DeadlineExceededInQueue,
    DeadlineExceeded,
    NoTargetAvailable,
    HomeUnavailable,
    ConnectFailed,
    TargetShedRequest,
    StartDeadlinePassed,
    ConnectionLost,
    InvalidTargetAnswer,
    ClaimStoreUnavailable,
    ClaimInProgress,
    ClaimOutcomeUnknown,
    IdempotencyKeyReused,
    RequestQuarantined,
    RetryBudgetExhausted,
    ShuttingDown,
    Isolated,
    SettingsUnavailable,
    CallerGone,
    InvalidSettings,
    RevisionConflict,
    StoreUnavailable,
    StoreOutcomeUnknown,
    RowNotFound,
    PeerUnavailable,
    MalformedMessage,
    Internal,
};

inline constexpr size_t errorKindCount = static_cast<size_t>(ErrorKind::Internal) + 1;

/// What an error response tells the caller about whether its request was executed.
enum class RequestOutcome : uint8_t {
    NotRun,  ///< No target started the request.
    Unknown, ///< A target may have run the request.
};

/// Whether the request may be sent again after this error.
enum class RetryRule : uint8_t {
    Never,
    IfIdempotent,
    Always, ///< The request certainly did not run, so even a non-idempotent one may be sent again.
};

/// The response to the caller for one error kind.
struct ErrorRule {
    ErrorKind kind;
    std::string_view name; ///< Value of the Comfreysail-Error header and of log fields.
    uint16_t status;       ///< HTTP status code.
    RequestOutcome outcome;
    RetryRule retry;
    std::string_view message; ///< Text of the response body.

    bool operator==(ErrorRule const&) const = default;
};

/// The row of the error table for this kind.
ErrorRule const& errorRule(ErrorKind);

/// All rows of the table, in the order of the enumeration.
std::array<ErrorRule, errorKindCount> const& errorRules();

std::string_view errorName(ErrorKind);

/// Value of the Comfreysail-Outcome header: "not-run" or "unknown".
std::string_view outcomeName(RequestOutcome);

}
