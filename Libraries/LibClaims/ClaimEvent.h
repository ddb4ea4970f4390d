#pragma once

#include <LibClaims/ClaimRow.h>
#include <variant>

namespace Comfreysail::Claims {

/// The write took effect; the row now has this version.
struct WriteCommitted {
    int64_t version { 0 };
};

/// The write was refused, because the row has another version than expected. Nothing when the row does not exist.
struct WriteConflicted {
    std::optional<VersionedRow> found;
    bool isUnreadable { false }; ///< A row exists, but its value is not a claim row.
};

/// The write may have taken effect.
struct CommitAnswerLost { };

/// The write surely did not take effect, or a read failed.
struct StoreDown { };

/// Result of reading the row again after a lost answer.
struct RowRead {
    std::optional<VersionedRow> found;
    bool isUnreadable { false };
};

/// The caller no longer waits for the claim.
struct WaitEnded { };

/// The holder is about to send the request to a target.
struct SendStarted { };

/// The request surely did not run on the target: connect failure, load shedding, or a passed start-by time.
struct SendDidNotRun { };

/// The request may have run, and no answer will arrive.
struct SendOutcomeUnknown { };

/// A target answered with this HTTP status.
struct AnswerReceived {
    unsigned status { 0 };
};

/// The holder will not send (again).
struct GaveUp { };

using ClaimEvent = std::variant<WriteCommitted, WriteConflicted, CommitAnswerLost, StoreDown, RowRead, WaitEnded,
    SendStarted, SendDidNotRun, SendOutcomeUnknown, AnswerReceived, GaveUp>;

}
