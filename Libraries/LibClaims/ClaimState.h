#pragma once

#include <LibClaims/ClaimRow.h>

namespace Comfreysail::Claims {

/// Phase of a claim, as known to its holder.
enum class ClaimPhase : uint8_t {
    Inserting, ///< The row has to be inserted.
    Resolving, ///< The answer to the insert was lost, so the row has to be read.
    Held,      ///< The holder owns the row, and the request is at no target.
    Sent,      ///< A target may be running the request.
    Finishing, ///< The status of the response has to be written.
    Releasing, ///< The release has to be written. The request is never sent in or after this phase.
    Ended,     ///< No work remains.
};

/// State of a claim, as known to its holder.
struct ClaimState {
    ClaimPhase phase { ClaimPhase::Inserting };
    ClaimRow row;
    int64_t expectedVersion { 0 }; ///< Version that the next write expects; 0 if the row must not exist.
    bool mayBeWritten { false };   ///< An insert whose answer was lost may still be committed.
    bool isAnswered { false };     ///< The caller's wait is over; an insert committed later is released.

    bool operator==(ClaimState const&) const = default;
};

}
