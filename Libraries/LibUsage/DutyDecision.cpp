#include <LibUsage/DutyDecision.h>

#include <algorithm>

namespace Comfreysail::Usage {

namespace {

using Core::Duration;

// Until true time is known. It becomes known with a response to a push.
constexpr auto clockPollInterval = std::chrono::milliseconds(200);
// Daemons that wait for the same lease to expire try to take over one after the other.
constexpr auto takeoverSpacing = std::chrono::milliseconds(300);

/// The newest window that the candidate at this position has to report by now.
WindowId lastOverdue(DutyState const& state, Duration trueTime)
{
    auto const age = candidateTime(state.options, 0, state.position);
    return windowAt(state.options, trueTime - age + endOf(state.options, 0)) - 1;
}

bool holdsRow(DutyState const& state)
{
    return state.leaseStart && state.row && state.row->holder == state.self
        && state.row->incarnation == state.incarnation;
}

void backOff(DutyState& state, DutyTime const& now)
{
    auto const& options = state.options;
    state.backoff = std::clamp(2 * state.backoff, options.minBackoff, options.maxBackoff);
    state.notBefore = now.sinceBoot + state.backoff;
}

/// The first fixed window that is not known to be reported.
FixedWindow const* firstUnsent(DutyState const& state)
{
    auto const found = std::ranges::find_if(state.row->fixed,
        [&](FixedWindow const& fixed) { return fixed.window > state.closed.value_or(fixed.window - 1); });
    return found == state.row->fixed.end() ? nullptr : &*found;
}

/// How long the holder of the row may still act, as of the last read; zero or less if it may not.
Duration leaseLeftOfOther(DutyState const& state)
{
    if (!state.row)
        return {};
    auto const needed = state.options.lease + state.options.takeoverMargin;
    auto const ageByStore = state.readStoreTime - state.row->renewedAt;
    // The write came before the first read that found it. This does not depend on the store's clock, which may have
    // been set back.
    auto const ageByOwnClock = state.lastReadStart - state.revisionSeenAt;
    return needed - std::max(ageByStore, ageByOwnClock) + Duration(1);
}

DutyStep waitUntil(Duration until)
{
    DutyStep step;
    step.until = until;
    return step;
}

DutyStep stepOfHolder(DutyState const& state, Duration trueTime, DutyTime const& now)
{
    auto const* const unsent = firstUnsent(state);
    auto const sendUntil = now.sinceBoot + state.options.callTimeout;
    bool const maySend = unsent && !isExpired(state.options, unsent->window, trueTime)
        && hasLeaseUntil(state, sendUntil + state.options.leaseReserve);
    if (!maySend)
        return { DutyAction::WriteRow, {}, {}, 0, {} };
    return { DutyAction::Send, {}, *unsent, state.row->token, sendUntil };
}

}

Duration candidateTime(UsageOptions const& options, WindowId window, size_t position)
{
    auto delay = options.firstCandidate;
    if (position > 0)
        delay = options.secondCandidate + static_cast<int64_t>(position - 1) * options.candidateSpacing;
    return endOf(options, window) + std::min(delay, options.lastCandidate);
}

bool hasLeaseUntil(DutyState const& state, Duration time)
{
    return holdsRow(state) && time <= *state.leaseStart + state.options.lease;
}

DutyStep nextStep(DutyState& state, DutyTime const& now)
{
    if (!now.trueTime)
        return waitUntil(now.sinceBoot + clockPollInterval);
    auto const trueTime = *now.trueTime;
    if (!state.assumed)
        state.assumed = lastOverdue(state, trueTime);
    if (now.sinceBoot < state.notBefore)
        return waitUntil(state.notBefore);
    // The first candidate reads the row when it starts: windows may be left over from before, and without the row no
    // window can be reported.
    bool const isFirst = state.position == 0;
    if (!state.hasRead && isFirst)
        return { DutyAction::ReadRow, {}, {}, 0, {} };
    bool const lacksRow = state.hasRead && !state.row && isFirst;
    auto const done = state.closed.value_or(*state.assumed);
    if (lastOverdue(state, trueTime) <= done && !lacksRow)
        return waitUntil(now.sinceBoot + candidateTime(state.options, done + 1, state.position) - trueTime);
    if (!state.isCurrent)
        return { DutyAction::ReadRow, {}, {}, 0, {} };
    if (holdsRow(state))
        return stepOfHolder(state, trueTime, now);
    if (auto const left = leaseLeftOfOther(state); left > Duration {}) {
        // The holder may renew meanwhile, so the row is read again then.
        state.isCurrent = false;
        state.notBefore = now.sinceBoot + left + static_cast<int64_t>(state.position) * takeoverSpacing;
        return waitUntil(state.notBefore);
    }
    return { DutyAction::WriteRow, {}, {}, 0, {} };
}

DutyWrite composeWrite(
    DutyState const& state, std::function<ReportedCounts(WindowId)> const& countsOf, DutyTime const& now)
{
    auto const& options = state.options;
    auto const trueTime = now.trueTime.value_or(Duration {});
    DutyWrite write;
    write.expectedRevision = state.revision;
    write.startedAt = now.sinceBoot;
    auto& row = write.row;
    if (state.row) {
        row = *state.row;
    } else {
        // Each takeover changes the store, so no token can have been greater than the store's revision, even if the row
        // was removed. Without the row it is not known which windows were reported with which counts.
        row.token = state.storeRevision;
        row.closed = state.closed.value_or(windowAt(options, trueTime) - 1);
    }
    write.isTakeover = !holdsRow(state);
    if (write.isTakeover) {
        row.holder = state.self;
        row.incarnation = state.incarnation;
        ++row.token;
    }
    row.renewedAt = state.storeClockBound + now.sinceBoot;
    auto const close = [&](WindowId window, bool isAbandoned) {
        row.closed = window;
        if (isAbandoned && !write.firstAbandoned)
            write.firstAbandoned = window;
    };
    while (!row.fixed.empty()) {
        auto const window = row.fixed.front().window;
        bool const isReported = state.closed && window <= *state.closed;
        if (!isReported && !isExpired(options, window, trueTime))
            break;
        close(window, !isReported);
        row.fixed.erase(row.fixed.begin());
    }
    if (row.fixed.empty() && state.closed)
        row.closed = std::max(row.closed, *state.closed);
    auto const last = lastOverdue(state, trueTime);
    auto window = row.closed + static_cast<WindowId>(row.fixed.size()) + 1;
    if (row.fixed.empty() && window <= last && isExpired(options, window, trueTime)) {
        write.firstAbandoned = write.firstAbandoned.value_or(window);
        while (window <= last && isExpired(options, window, trueTime))
            ++window;
        row.closed = window - 1;
    }
    for (; window <= last; ++window) {
        row.fixed.push_back({ window, countsOf(window) });
        if (encodeDutyRow(row).size() <= options.maxRowBytes)
            continue;
        row.fixed.pop_back();
        // The window is fixed once the earlier ones are sent. If it does not fit alone, it cannot be reported.
        if (!row.fixed.empty())
            break;
        close(window, true);
        write.isTooLarge = true;
    }
    write.text = encodeDutyRow(row);
    return write;
}

void noteRead(DutyState& state, DutyRead const& read, DutyTime const& now)
{
    auto const decoded = read.text ? decodeDutyRow(*read.text) : Core::Result<DutyRow>(Core::Error {});
    bool const isValid = read.text && !isError(decoded);
    if (!state.hasRead || state.revision != read.revision)
        state.revisionSeenAt = now.sinceBoot;
    state.lastReadStart = read.startedAt;
    state.hasRead = true;
    state.isCutOffFromStore = false;
    state.isCurrent = true;
    state.revision = read.revision;
    state.storeRevision = read.storeRevision;
    state.readStoreTime = read.storeTime;
    state.storeClockBound = read.storeTime - read.startedAt;
    state.row = isValid ? std::optional(valueOf(decoded)) : std::nullopt;
    state.backoff = {};
    bool const isOwn = state.row && state.row->holder == state.self && state.row->incarnation == state.incarnation;
    if (!isOwn)
        state.leaseStart.reset();
    else if (!state.leaseStart && state.unknownWriteStart && state.row->token == state.unknownToken)
        state.leaseStart = state.unknownWriteStart;
    state.unknownWriteStart.reset();
    // Without a row it is not known which counts were sent for the windows that have ended.
    if (state.row)
        noteClosed(state, state.row->closed);
    else if (now.trueTime)
        noteClosed(state, windowAt(state.options, *now.trueTime) - 1);
}

void noteStoreFailure(DutyState& state, DutyTime const& now)
{
    state.isCurrent = false;
    state.isCutOffFromStore = true;
    backOff(state, now);
}

void noteWritten(DutyState& state, DutyWrite const& write, uint64_t revision)
{
    state.row = write.row;
    state.revision = revision;
    state.leaseStart = write.startedAt;
    state.isCurrent = true;
    state.isCutOffFromStore = false;
    state.backoff = {};
    noteClosed(state, write.row.closed);
}

void noteConflict(DutyState& state)
{
    state.isCurrent = false;
    state.isCutOffFromStore = false;
}

void noteWriteUnknown(DutyState& state, DutyWrite const& write, DutyTime const& now)
{
    if (!state.unknownWriteStart) {
        state.unknownWriteStart = write.startedAt;
        state.unknownToken = write.row.token;
    }
    noteStoreFailure(state, now);
}

void noteSent(DutyState& state, WindowId window)
{
    noteClosed(state, window);
    state.backoff = {};
}

void noteSendFailure(DutyState& state, DutyTime const& now) { backOff(state, now); }

void noteClosed(DutyState& state, WindowId window) { state.closed = std::max(state.closed.value_or(window), window); }

}
