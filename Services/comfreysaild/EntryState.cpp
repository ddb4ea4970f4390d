#include "EntryState.h"

#include <algorithm>
#include <limits>
#include <platform/Names.h>

namespace Comfreysail::Daemon {

using Traffic::MoveState;

void noteVerdict(EntryState& state, std::string const& service, uint64_t orderedAt)
{
    auto& known = state.verdicts[service];
    known = std::max(known, orderedAt);
}

void noteSignals(EntryState& state, std::string const& target, Traffic::TargetSignals const& signals, bool isProbe,
    Core::Instant sentAt, Core::Instant now, Core::Duration typicalWork)
{
    auto const count = [&](std::string const& signal) {
        state.metrics.counter("comfreysail_target_signals_total", { { "signal", signal } }).add();
    };
    for (auto const& field : signals.invalidFields) {
        Telemetry::EventLine("target_signal_ignored").add("target", target).add("field", field).logWarning();
        count("ignored");
    }
    thread_local std::mt19937 generator { std::random_device {}() };
    auto const uniform = [] { return std::uniform_real_distribution<double>(0, 1)(generator); };
    auto const daemons = state.sharedRows.table(Platform::Table::members).size();
    auto const* const record = state.directory.find(target);
    if (!record)
        return;
    if (signals.isLeaving && !record->hasLeft) {
        state.directory.noteLeaving(target, now);
        count("leaving");
        Telemetry::EventLine("target_leaving").add("target", target).add("probe", isProbe).logInfo();
    }
    // A refused load probe says nothing about requests.
    if (signals.retryAfter && !isProbe) {
        state.directory.notePause(target, *signals.retryAfter, typicalWork, daemons, uniform(), now);
        count("not_before");
        Telemetry::EventLine("target_not_before")
            .add("target", target)
            .add("ms", std::chrono::duration_cast<std::chrono::milliseconds>(*signals.retryAfter).count())
            .logInfo();
    }
    auto const limitOf = [&] { return record->limit ? record->limit->requestsPerSecond : -1; };
    auto const before = limitOf();
    state.directory.noteLimit(target, signals.requestsPerSecond, isProbe, sentAt, daemons, uniform(), now);
    if (limitOf() == before)
        return;
    count(record->limit ? "limit" : "limit_ended");
    Telemetry::EventLine("target_limit")
        .add("target", target)
        .add("requests_per_second", limitOf())
        .add("before", before)
        .add("probe", isProbe)
        .logInfo();
}

Core::Duration typicalWorkOf(EntryState const& state, std::string const& route)
{
    auto const found = state.serviceTimes.find(route);
    return found == state.serviceTimes.end() ? Core::Duration {} : found->second.typical();
}

void endMove(std::string const& service, MoveInProgress& progress, MoveState state)
{
    progress.state = state;
    Telemetry::EventLine("move_ended")
        .add("service", service)
        .add("to", progress.move.toVersion)
        .add("completed", state == MoveState::Completed)
        .logInfo();
}

std::optional<std::string> allowedVersion(
    EntryState const& state, std::string_view service, double uniform, Core::Instant now)
{
    static Traffic::VersionHistory const noHistory;
    auto const foundHistory = state.versionHistories.find(service);
    auto const& history = foundHistory == state.versionHistories.end() ? noHistory : foundHistory->second;
    auto const found = state.moves.find(service);
    if (found == state.moves.end()) {
        // The targets of a rejected version may outlast the order.
        auto const source = history.rejected.empty()
            ? std::string()
            : Traffic::sourceVersion(history, state.directory.versionsOf(service), {});
        return source.empty() ? std::nullopt : std::optional(source);
    }
    auto const& progress = found->second;
    auto const& to = progress.move.toVersion;
    if (progress.state == MoveState::Completed)
        return to;
    auto const versions = state.directory.versionsOf(service);
    auto source = Traffic::sourceVersion(history, versions, to);
    auto const sent = progress.missedTrialStart ? std::numeric_limits<uint64_t>::max() : progress.sentToNewVersion;
    auto const share = progress.state == MoveState::RolledBack
        ? 0
        : Traffic::shareOfNewVersion(
            progress.move, now - progress.startedAt, sent, state.sharedRows.table(Platform::Table::members).size(), {});
    if (source.empty())
        return progress.state == MoveState::RolledBack ? std::string() : to;
    return versions.contains(to) && uniform < share ? to : source;
}

}
