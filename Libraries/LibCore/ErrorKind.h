#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Comfreysail::Core {

/// The closed list of error kinds. Each has one row in the table behind errorRule().
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

/// What the caller may conclude about its request from a refusal.
enum class RequestOutcome : uint8_t {
    NotRun,  ///< No target started the request.
    Unknown, ///< A target may have run the request.
};

/// Whether another send of the same request is allowed after this error.
enum class RetryRule : uint8_t {
    Never,
    IfIdempotent,
    Always, ///< The request surely did not run, so even a non-idempotent one may be sent again.
};

/// The answer that belongs to an error kind.
struct ErrorRule {
    ErrorKind kind;
    std::string_view name; ///< Value of the Comfreysail-Error header and of log fields.
    uint16_t status;       ///< HTTP status code.
    RequestOutcome outcome;
    RetryRule retry;
    std::string_view message; ///< Body text for the caller.

    bool operator==(ErrorRule const&) const = default;
};

/// The one table from error kind to answer.
ErrorRule const& errorRule(ErrorKind);

/// All rows of the table, in the order of the enumeration.
std::array<ErrorRule, errorKindCount> const& errorRules();

std::string_view errorName(ErrorKind);

/// Value of the Comfreysail-Outcome header: "not-run" or "unknown".
std::string_view outcomeName(RequestOutcome);

}
