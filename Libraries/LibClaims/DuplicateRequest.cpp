#include <LibClaims/DuplicateRequest.h>

namespace Comfreysail::Claims {

DuplicateRequestAnswer answerDuplicateRequest(ClaimRow const& found, uint64_t fingerprint, Core::WallTime now)
{
    if (found.expiresAt <= now)
        return MayClaimAgain {};
    if (found.fingerprint != fingerprint)
        return Core::Error { Core::ErrorKind::IdempotencyKeyReused, "the row holds another request's fingerprint" };
    if (found.state == RowState::Finished)
        return StoredStatus { found.status };
    if (found.state == RowState::Released)
        return MayClaimAgain {};
    if (now <= found.startBy + found.timeout)
        return Core::Error { Core::ErrorKind::ClaimInProgress, "claim " + found.claimId + " is in progress" };
    return Core::Error { Core::ErrorKind::ClaimOutcomeUnknown, "claim " + found.claimId + " was never finished" };
}

}
