#pragma once

#include <LibClaims/ClaimRow.h>

namespace Comfreysail::Claims {

/// Where a holder stands with its claim.
enum class ClaimPhase : uint8_t {
    Inserting, ///< The row is to be written.
    Resolving, ///< The answer to the write was lost; the row is to be read.
    Held,      ///< The row is ours; the request is not at any target.
    Sent,      ///< A target may be running the request.
    Finishing, ///< The stored status is to be written.
    Releasing, ///< The release is to be written. The request is never sent from here.
    Ended,     ///< Nothing remains to be done.
};

/// A holder's view of its claim.
struct ClaimState {
    ClaimPhase phase { ClaimPhase::Inserting };
    ClaimRow row;
    int64_t expectedVersion { 0 }; ///< Version that the next write expects; 0 when the row must be absent.
    bool mayBeWritten { false };   ///< An insert whose answer was lost may still take effect.
    bool isAnswered { false };     ///< The caller has got its answer, so the request must not be sent any more.

    bool operator==(ClaimState const&) const = default;
};

}
