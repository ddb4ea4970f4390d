#pragma once

#include <LibClaims/ClaimRow.h>
#include <variant>

namespace Comfreysail::Claims {

/// The request finished earlier with this HTTP status.
struct StoredStatus {
    unsigned status { 0 };

    bool operator==(StoredStatus const&) const = default;
};

/// The key may be claimed again by a write that expects the version of the found row.
struct MayClaimAgain {
    bool operator==(MayClaimAgain const&) const = default;
};

using DuplicateRequestAnswer = std::variant<StoredStatus, MayClaimAgain, Core::Error>;

/// Returns the answer for a request whose idempotency key has a row of another claim. Errors: IdempotencyKeyReused,
/// ClaimInProgress, ClaimOutcomeUnknown. A row in state Claimed is never taken over before it expires, because its
/// holder may be paused and send the request later.
DuplicateRequestAnswer answerDuplicateRequest(ClaimRow const& found, uint64_t fingerprint, Core::WallTime now);

}
