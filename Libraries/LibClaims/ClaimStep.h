#pragma once

#include <LibClaims/ClaimEvent.h>
#include <LibClaims/ClaimState.h>
#include <LibClaims/DuplicateRequest.h>
#include <optional>
#include <variant>

namespace Comfreysail::Claims {

/// The holder owns the row and may send the request until the start-by time.
struct ClaimGranted {
    Core::WallTime startBy;

    bool operator==(ClaimGranted const&) const = default;
};

using ClaimAnswer = std::variant<ClaimGranted, StoredStatus, Core::Error>;

/// The holder's next call to the table service.
enum class StoreAction : uint8_t {
    None,
    Write, ///< Write the row of the state on the condition of its expected version.
    Read,  ///< Read the row.
};

/// Result of one event: the new state and what to do.
struct ClaimStep {
    ClaimState state;
    StoreAction action { StoreAction::None };
    std::optional<ClaimAnswer> answer; ///< Answer for the caller that waits for the claim.
};

/// Returns the first step of a claim, which inserts the row.
ClaimStep firstStep(ClaimRow row);

/// Returns the step that follows an event. Ignores events that do not apply to the phase of the state.
/// `now` is compared with the start-by and expiry times of the row.
ClaimStep nextStep(ClaimState const&, ClaimEvent const&, Core::WallTime now);

}
