#pragma once

#include <LibClaims/ClaimRow.h>
#include <variant>

namespace Comfreysail::Claims {

/// Answer from the row: the request finished earlier with this HTTP status.
struct StoredStatus {
    unsigned status { 0 };

    bool operator==(StoredStatus const&) const = default;
};

/// The key may be claimed again by a write that expects the version of the row.
struct MayClaimAgain {
    bool operator==(MayClaimAgain const&) const = default;
};

using RepeatedSendAnswer = std::variant<StoredStatus, MayClaimAgain, Core::Error>;

/// Decides what a repeated send gets when another claim's row is found under its key. A claimed row is never taken
/// over: its holder may be paused and may send later.
RepeatedSendAnswer answerRepeatedSend(ClaimRow const& found, uint64_t fingerprint, Core::WallTime now);

}
