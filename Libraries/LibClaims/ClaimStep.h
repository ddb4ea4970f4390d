#pragma once

#include <LibClaims/ClaimEvent.h>
#include <LibClaims/ClaimState.h>
#include <LibClaims/RepeatedSend.h>
#include <optional>
#include <variant>

namespace Comfreysail::Claims {

/// The claim is held: the request may be sent until the start-by time.
struct ClaimGranted {
    Core::WallTime startBy;

    bool operator==(ClaimGranted const&) const = default;
};

using ClaimAnswer = std::variant<ClaimGranted, StoredStatus, Core::Error>;

/// What the holder has to do with the table service next.
enum class StoreAction : uint8_t {
    None,
    Write, ///< Write the row of the state, expecting its expected version.
    Read,  ///< Read the row.
};

/// Result of one event.
struct ClaimStep {
    ClaimState state;
    StoreAction action { StoreAction::None };
    std::optional<ClaimAnswer> answer; ///< For the caller that waits for the claim.
};

/// First step of a claim: the row is to be inserted.
ClaimStep firstStep(ClaimRow row);

/// The state after an event and what follows from it. An event that does not belong to the phase changes nothing.
/// The wall time is compared with the row's start-by and expiry times.
ClaimStep nextStep(ClaimState const&, ClaimEvent const&, Core::WallTime now);

}
