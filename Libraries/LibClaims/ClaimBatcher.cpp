#include <LibClaims/ClaimBatcher.h>
#include <algorithm>

namespace Comfreysail::Claims {

namespace {

using Core::Error;
using Core::ErrorKind;

bool isWaiting(ClaimState const& state)
{
    return !state.isAnswered && (state.phase == ClaimPhase::Inserting || state.phase == ClaimPhase::Resolving);
}

bool isBackground(ClaimState const& state)
{
    return state.isAnswered && state.phase != ClaimPhase::Held && state.phase != ClaimPhase::Sent;
}

template<typename Event> Event eventFromRow(StoredRow const& stored)
{
    if (stored.version == 0)
        return {};
    auto row = decodeRow(stored.value);
    if (!row)
        return { std::nullopt, true };
    return { VersionedRow { std::move(*row), stored.version }, false };
}

}

ClaimBatcher::ClaimBatcher(std::string holderName, ClaimLimits limits)
    : m_holderName(std::move(holderName))
    , m_limits(limits)
{
}

std::variant<ClaimToken, StoredStatus, Error> ClaimBatcher::add(ClaimRequest const& request, Core::WallTime now)
{
    if (auto const existing = m_tokenByRowKey.find(request.rowKey); existing != m_tokenByRowKey.end()) {
        auto const& row = m_entries.at(existing->second).state.row;
        if (row.fingerprint != request.fingerprint)
            return Error { ErrorKind::IdempotencyKeyReused, "the key is in use for another request" };
        if (row.state == RowState::Finished)
            return StoredStatus { row.status };
        return Error { ErrorKind::ClaimInProgress, "claim " + row.claimId + " is in progress on this daemon" };
    }
    if (m_waitDeadlines.size() >= m_limits.maxWaiting)
        return Error { ErrorKind::ClaimStoreUnavailable, "too many requests wait for their claim" };

    auto const token = ++m_lastToken;
    ClaimRow row;
    row.claimId = m_holderName + "/" + std::to_string(token);
    row.fingerprint = request.fingerprint;
    row.startBy = request.startBy;
    row.timeout = request.timeout;
    row.expiresAt = std::max(now, request.startBy + request.timeout) + m_limits.retention;
    auto const waitUntil = std::min(request.startBy, now + m_limits.maxWait);
    m_entries.emplace(token, Entry { request.rowKey, firstStep(std::move(row)).state, waitUntil });
    m_tokenByRowKey.emplace(request.rowKey, token);
    m_waitDeadlines.emplace(waitUntil, token);
    m_pendingWrites.push_back(token);
    return token;
}

std::optional<ClaimBatch> ClaimBatcher::takeBatch(Core::WallTime now)
{
    if (!m_inFlight.empty())
        return std::nullopt;
    ClaimBatch batch;
    if (!m_pendingReads.empty() && m_pendingReads.begin()->first <= now)
        batch = readBatch(now);
    else if (m_writesPausedUntil <= now)
        batch = writeBatch();
    if (m_inFlight.empty())
        return std::nullopt;
    batch.id = ++m_lastBatchId;
    return batch;
}

ClaimBatch ClaimBatcher::readBatch(Core::WallTime now)
{
    ClaimBatch batch;
    while (!m_pendingReads.empty() && m_pendingReads.begin()->first <= now && m_inFlight.size() < m_limits.maxBatch) {
        auto const token = m_pendingReads.begin()->second;
        m_pendingReads.erase(m_pendingReads.begin());
        auto const entry = m_entries.find(token);
        if (entry == m_entries.end())
            continue;
        batch.reads.push_back(entry->second.rowKey);
        m_inFlight.push_back(token);
    }
    return batch;
}

ClaimBatch ClaimBatcher::writeBatch()
{
    ClaimBatch batch;
    while (!m_pendingWrites.empty() && m_inFlight.size() < m_limits.maxBatch) {
        auto const token = m_pendingWrites.front();
        m_pendingWrites.pop_front();
        if (!needsWrite(token))
            continue;
        auto const& entry = m_entries.at(token);
        batch.writes.push_back({ entry.rowKey, entry.state.expectedVersion, encodeRow(entry.state.row) });
        m_inFlight.push_back(token);
    }
    if (!batch.writes.empty())
        ++m_counts.transactions;
    return batch;
}

std::vector<ClaimDelivery> ClaimBatcher::complete(uint64_t batchId, BatchResult const& result, Core::WallTime now)
{
    Deliveries deliveries;
    if (batchId != m_lastBatchId || m_inFlight.empty())
        return deliveries;
    auto const tokens = std::exchange(m_inFlight, {});

    if (auto const* conflicted = std::get_if<BatchConflicted>(&result)) {
        completeConflicted(tokens, *conflicted, now, deliveries);
        return deliveries;
    }
    if (std::holds_alternative<BatchAnswerLost>(result))
        ++m_counts.lostAnswers;
    if (std::holds_alternative<BatchAnswerLost>(result) || std::holds_alternative<BatchStoreDown>(result))
        m_writesPausedUntil = now + m_limits.retryDelay;

    for (size_t index = 0; index < tokens.size(); ++index) {
        ClaimEvent event = StoreDown {};
        if (auto const* committed = std::get_if<BatchCommitted>(&result)) {
            // A version is missing only if the response belongs to another transaction.
            if (index < committed->versions.size())
                event = WriteCommitted { committed->versions[index] };
            else
                event = CommitAnswerLost {};
            ++m_counts.rowsWritten;
        } else if (auto const* read = std::get_if<BatchRead>(&result)) {
            if (index < read->rows.size() && read->rows[index])
                event = eventFromRow<RowRead>(*read->rows[index]);
        } else if (std::holds_alternative<BatchAnswerLost>(result)) {
            event = CommitAnswerLost {};
        }
        apply(tokens[index], event, now, deliveries);
    }
    return deliveries;
}

void ClaimBatcher::completeConflicted(std::vector<ClaimToken> const& tokens, BatchConflicted const& conflicted,
    Core::WallTime now, Deliveries& deliveries)
{
    std::set<size_t> conflictIndexes;
    for (auto const& conflict : conflicted.conflicts) {
        if (conflict.index >= tokens.size() || !conflictIndexes.insert(conflict.index).second)
            continue;
        ++m_counts.conflicts;
        apply(tokens[conflict.index], eventFromRow<WriteConflicted>(conflict.found), now, deliveries);
    }
    // A rejected transaction without conflicts would otherwise be retried in a loop without delay.
    if (conflictIndexes.empty())
        m_writesPausedUntil = now + m_limits.retryDelay;
    for (size_t index = tokens.size(); index > 0; --index) {
        auto const token = tokens[index - 1];
        if (conflictIndexes.contains(index - 1))
            continue;
        // The caller of an insert may have been answered in the meantime. The rejected transaction proves that the row
        // was not written, so the claim can be dropped.
        auto const& state = m_entries.at(token).state;
        if (state.isAnswered && state.phase == ClaimPhase::Inserting && !state.mayBeWritten)
            erase(token);
        else
            m_pendingWrites.push_front(token);
    }
}

std::vector<ClaimDelivery> ClaimBatcher::expireWaits(Core::WallTime now)
{
    Deliveries deliveries;
    while (!m_waitDeadlines.empty() && m_waitDeadlines.begin()->first <= now)
        apply(m_waitDeadlines.begin()->second, WaitEnded {}, now, deliveries);
    return deliveries;
}

Core::Result<Core::Empty> ClaimBatcher::noteSendStarted(ClaimToken token, Core::WallTime now)
{
    auto const entry = m_entries.find(token);
    if (entry == m_entries.end() || entry->second.state.phase != ClaimPhase::Held)
        return Error { ErrorKind::Internal, "the claim is not held" };
    Deliveries deliveries;
    apply(token, SendStarted {}, now, deliveries);
    if (deliveries.empty())
        return Core::Empty {};
    return std::get<Error>(deliveries.front().answer);
}

void ClaimBatcher::note(ClaimToken token, ClaimEvent const& event, Core::WallTime now)
{
    Deliveries deliveries;
    apply(token, event, now, deliveries);
}

void ClaimBatcher::cancel(ClaimToken token, Core::WallTime now)
{
    note(token, WaitEnded {}, now);
    note(token, GaveUp {}, now);
}

std::optional<Core::WallTime> ClaimBatcher::nextWake() const
{
    std::optional<Core::WallTime> earliest;
    auto const addTime = [&](Core::WallTime time) { earliest = earliest ? std::min(*earliest, time) : time; };
    if (!m_waitDeadlines.empty())
        addTime(m_waitDeadlines.begin()->first);
    if (m_inFlight.empty() && !m_pendingReads.empty())
        addTime(m_pendingReads.begin()->first);
    if (m_inFlight.empty() && !m_pendingWrites.empty())
        addTime(m_writesPausedUntil);
    return earliest;
}

bool ClaimBatcher::isIdle() const { return m_inFlight.empty() && m_pendingWrites.empty() && m_pendingReads.empty(); }

void ClaimBatcher::apply(ClaimToken token, ClaimEvent const& event, Core::WallTime now, Deliveries& deliveries)
{
    auto const found = m_entries.find(token);
    if (found == m_entries.end())
        return;
    auto& entry = found->second;
    bool const wasWaiting = isWaiting(entry.state);
    auto const previousPhase = entry.state.phase;
    auto step = nextStep(entry.state, event, now);
    entry.state = std::move(step.state);

    if (wasWaiting && !isWaiting(entry.state))
        m_waitDeadlines.erase({ entry.waitUntil, token });
    if (step.answer)
        deliveries.push_back({ token, std::move(*step.answer) });

    bool const isNeverWritten = entry.state.isAnswered && entry.state.phase == ClaimPhase::Inserting
        && !entry.state.mayBeWritten && !isInFlight(token);
    if (isNeverWritten || entry.state.phase == ClaimPhase::Ended) {
        erase(token);
        return;
    }
    if (isBackground(entry.state) && !entry.isInBackground) {
        if (m_backgroundCount >= m_limits.maxBackground) {
            ++m_counts.dropped;
            erase(token);
            return;
        }
        entry.isInBackground = true;
        ++m_backgroundCount;
    }
    queue(token, step.action, previousPhase, now);
}

void ClaimBatcher::queue(ClaimToken token, StoreAction action, ClaimPhase previous, Core::WallTime now)
{
    if (action == StoreAction::Write)
        m_pendingWrites.push_back(token);
    // The first read after a lost answer is due immediately, retries after a delay.
    if (action == StoreAction::Read)
        m_pendingReads.emplace(previous == ClaimPhase::Resolving ? now + m_limits.retryDelay : now, token);
}

void ClaimBatcher::erase(ClaimToken token)
{
    auto const entry = m_entries.find(token);
    if (entry->second.isInBackground)
        --m_backgroundCount;
    m_tokenByRowKey.erase(entry->second.rowKey);
    m_entries.erase(entry);
}

bool ClaimBatcher::isInFlight(ClaimToken token) const
{
    return std::find(m_inFlight.begin(), m_inFlight.end(), token) != m_inFlight.end();
}

bool ClaimBatcher::needsWrite(ClaimToken token) const
{
    auto const entry = m_entries.find(token);
    if (entry == m_entries.end())
        return false;
    auto const phase = entry->second.state.phase;
    return phase == ClaimPhase::Inserting || phase == ClaimPhase::Finishing || phase == ClaimPhase::Releasing;
}

}
