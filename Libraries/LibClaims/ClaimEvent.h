#pragma once

#include <LibClaims/ClaimRow.h>
#include <variant>

namespace Comfreysail::Claims {

/// The write was committed, and the row now has this version.
struct WriteCommitted {
    int64_t version { 0 };
};

/// The write was rejected because the row did not have the expected version.
struct WriteConflicted {
    std::optional<VersionedRow> found; ///< std::nullopt if the row does not exist or is unreadable.
    bool isUnreadable { false };       ///< The row exists, but its value cannot be decoded.
};

/// The response was lost, so the write may have been committed.
struct CommitAnswerLost { };

/// The write was certainly not committed, or the read failed.
struct StoreDown { };

/// Result of reading the row after a lost answer; see WriteConflicted for the fields.
struct RowRead {
    std::optional<VersionedRow> found;
    bool isUnreadable { false };
};

/// The caller no longer waits for the claim: timeout or cancellation.
struct WaitEnded { };

/// The holder is about to send the request to a target.
struct SendStarted { };

/// The request did not run on the target: connect failure, load shedding, or start-by time exceeded.
struct SendDidNotRun { };

/// The request may have run, and no response will arrive.
struct SendOutcomeUnknown { };

/// A target responded with this HTTP status.
struct AnswerReceived {
    unsigned status { 0 };
};

/// The holder will not send the request, or not again.
struct GaveUp { };

using ClaimEvent = std::variant<WriteCommitted, WriteConflicted, CommitAnswerLost, StoreDown, RowRead, WaitEnded,
    SendStarted, SendDidNotRun, SendOutcomeUnknown, AnswerReceived, GaveUp>;

}
