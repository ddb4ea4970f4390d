#include <LibClaims/ClaimStep.h>

namespace Comfreysail::Claims {

namespace {

using Core::Error;
using Core::ErrorKind;

ClaimStep keepState(ClaimState const& state) { return { state, StoreAction::None, std::nullopt }; }

ClaimStep endClaim(ClaimState state, std::optional<ClaimAnswer> answer = std::nullopt)
{
    state.phase = ClaimPhase::Ended;
    if (state.isAnswered)
        answer.reset();
    state.isAnswered = true;
    return { std::move(state), StoreAction::None, std::move(answer) };
}

ClaimStep releaseClaim(ClaimState state, std::optional<ClaimAnswer> answer = std::nullopt)
{
    state.phase = ClaimPhase::Releasing;
    state.row.state = RowState::Released;
    if (state.isAnswered)
        answer.reset();
    state.isAnswered = true;
    return { std::move(state), StoreAction::Write, std::move(answer) };
}

ClaimStep readRow(ClaimState state)
{
    state.phase = ClaimPhase::Resolving;
    return { std::move(state), StoreAction::Read, std::nullopt };
}

/// Handles a store without a row that prevents the claim. While the caller waits, the insert is retried under the same
/// claim id, so that it and a delayed copy of the first insert create only one row. If the caller was already answered,
/// the row is only read again, until a delayed insert can no longer take effect.
ClaimStep retryInsert(ClaimState state, int64_t expectedVersion, Core::WallTime now)
{
    if (state.isAnswered) {
        bool const mayStillBeCommitted = state.mayBeWritten && now <= state.row.startBy + state.row.timeout;
        return mayStillBeCommitted ? readRow(std::move(state)) : endClaim(std::move(state));
    }
    state.phase = ClaimPhase::Inserting;
    state.expectedVersion = expectedVersion;
    return { std::move(state), StoreAction::Write, std::nullopt };
}

ClaimStep handleOwnRow(ClaimState state, int64_t version, Core::WallTime now)
{
    state.expectedVersion = version;
    state.mayBeWritten = false;
    if (state.isAnswered)
        return releaseClaim(std::move(state));
    if (now > state.row.startBy)
        return releaseClaim(std::move(state),
            Error { ErrorKind::StartDeadlinePassed, "the claim was recorded after the start deadline" });
    state.phase = ClaimPhase::Held;
    state.isAnswered = true;
    auto const startBy = state.row.startBy;
    return { std::move(state), StoreAction::None, ClaimGranted { startBy } };
}

ClaimStep handleFoundRow(ClaimState state, VersionedRow const& found, Core::WallTime now)
{
    if (found.row.claimId == state.row.claimId)
        return handleOwnRow(std::move(state), found.version, now);
    // Our own insert, if still in flight, fails because the row no longer has the version that it expects.
    if (found.version != state.expectedVersion)
        state.mayBeWritten = false;
    auto answer = answerDuplicateRequest(found.row, state.row.fingerprint, now);
    if (std::holds_alternative<MayClaimAgain>(answer))
        return retryInsert(std::move(state), found.version, now);
    if (auto const* stored = std::get_if<StoredStatus>(&answer))
        return endClaim(std::move(state), *stored);
    return endClaim(std::move(state), std::get<Error>(std::move(answer)));
}

ClaimStep handleUnreadableRow(ClaimState state)
{
    return endClaim(std::move(state), Error { ErrorKind::ClaimOutcomeUnknown, "the claim row cannot be decoded" });
}

ClaimStep handleInserting(ClaimState state, ClaimEvent const& event, Core::WallTime now)
{
    if (auto const* committed = std::get_if<WriteCommitted>(&event))
        return handleOwnRow(std::move(state), committed->version, now);
    if (auto const* conflicted = std::get_if<WriteConflicted>(&event)) {
        if (conflicted->isUnreadable)
            return handleUnreadableRow(std::move(state));
        if (conflicted->found)
            return handleFoundRow(std::move(state), *conflicted->found, now);
        return retryInsert(std::move(state), 0, now);
    }
    if (std::holds_alternative<CommitAnswerLost>(event)) {
        state.mayBeWritten = true;
        return readRow(std::move(state));
    }
    if (std::holds_alternative<StoreDown>(event)) {
        if (!state.mayBeWritten)
            return endClaim(
                std::move(state), Error { ErrorKind::ClaimStoreUnavailable, "the claim could not be written" });
        return readRow(std::move(state));
    }
    return keepState(state);
}

ClaimStep handleResolving(ClaimState state, ClaimEvent const& event, Core::WallTime now)
{
    if (std::holds_alternative<StoreDown>(event))
        return readRow(std::move(state));
    auto const* read = std::get_if<RowRead>(&event);
    if (!read)
        return keepState(state);
    if (read->isUnreadable)
        return handleUnreadableRow(std::move(state));
    if (read->found)
        return handleFoundRow(std::move(state), *read->found, now);
    return retryInsert(std::move(state), 0, now);
}

ClaimStep handleWaitEnded(ClaimState state)
{
    // The request is never sent after this answer, so "not run" remains true even if the insert is committed later.
    auto const answer = Error { ErrorKind::ClaimStoreUnavailable, "the claim was not recorded in time" };
    if (state.isAnswered)
        return keepState(state);
    state.isAnswered = true;
    return { std::move(state), StoreAction::None, answer };
}

ClaimStep handleHeld(ClaimState state, ClaimEvent const& event, Core::WallTime now)
{
    if (std::holds_alternative<SendStarted>(event)) {
        if (now > state.row.startBy) {
            state.isAnswered = false;
            return releaseClaim(std::move(state),
                Error { ErrorKind::StartDeadlinePassed, "the holder reached the send after the start deadline" });
        }
        state.phase = ClaimPhase::Sent;
        return keepState(state);
    }
    if (std::holds_alternative<GaveUp>(event))
        return releaseClaim(std::move(state));
    return keepState(state);
}

ClaimStep handleSent(ClaimState state, ClaimEvent const& event)
{
    if (auto const* answer = std::get_if<AnswerReceived>(&event)) {
        state.phase = ClaimPhase::Finishing;
        state.row.state = RowState::Finished;
        state.row.status = answer->status;
        return { std::move(state), StoreAction::Write, std::nullopt };
    }
    if (std::holds_alternative<SendDidNotRun>(event)) {
        state.phase = ClaimPhase::Held;
        return keepState(state);
    }
    if (std::holds_alternative<SendOutcomeUnknown>(event))
        return endClaim(std::move(state));
    return keepState(state);
}

/// Handles the phases Finishing and Releasing: the write is retried until it is committed or can no longer succeed.
ClaimStep handleFinalWrite(ClaimState state, ClaimEvent const& event, Core::WallTime now)
{
    if (std::holds_alternative<WriteCommitted>(event))
        return endClaim(std::move(state));
    // The row may have been deleted and inserted again by another claim, whose state must not be overwritten.
    if (now >= state.row.expiresAt)
        return endClaim(std::move(state));
    if (std::holds_alternative<CommitAnswerLost>(event))
        return { std::move(state), StoreAction::Read, std::nullopt };
    if (std::holds_alternative<StoreDown>(event))
        return { std::move(state), StoreAction::Write, std::nullopt };
    if (auto const* read = std::get_if<RowRead>(&event)) {
        bool const isOwnRow = read->found && read->found->row.claimId == state.row.claimId;
        if (isOwnRow && read->found->row.state == RowState::Claimed)
            return { std::move(state), StoreAction::Write, std::nullopt };
        return endClaim(std::move(state));
    }
    // A conflict means that an earlier copy of this write was committed, or that the row expired and was replaced.
    if (std::holds_alternative<WriteConflicted>(event))
        return endClaim(std::move(state));
    return keepState(state);
}

}

ClaimStep firstStep(ClaimRow row)
{
    ClaimState state;
    state.row = std::move(row);
    return { std::move(state), StoreAction::Write, std::nullopt };
}

ClaimStep nextStep(ClaimState const& state, ClaimEvent const& event, Core::WallTime now)
{
    switch (state.phase) {
    case ClaimPhase::Inserting:
        return std::holds_alternative<WaitEnded>(event) ? handleWaitEnded(state) : handleInserting(state, event, now);
    case ClaimPhase::Resolving:
        return std::holds_alternative<WaitEnded>(event) ? handleWaitEnded(state) : handleResolving(state, event, now);
    case ClaimPhase::Held:
        return handleHeld(state, event, now);
    case ClaimPhase::Sent:
        return handleSent(state, event);
    case ClaimPhase::Finishing:
    case ClaimPhase::Releasing:
        return handleFinalWrite(state, event, now);
    case ClaimPhase::Ended:
        break;
    }
    return keepState(state);
}

}
