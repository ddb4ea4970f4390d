#include "RowAdopter.h"

#include <boost/algorithm/string/join.hpp>
#include <charconv>

namespace Comfreysail::Daemon {

using Core::Error;
using Core::ErrorKind;
using Platform::StoreRow;
using Traffic::MoveState;

std::string sharedText(StoreRow const& row) { return std::to_string(row.revision) + "\n" + row.value; }

StoreRow storeRow(std::string const& key, std::string const& sharedText)
{
    StoreRow row;
    row.key = key;
    std::from_chars(sharedText.data(), sharedText.data() + sharedText.size(), row.revision);
    row.value = sharedText.substr(std::min(sharedText.find('\n'), sharedText.size() - 1) + 1);
    return row;
}

namespace {

/// The number of a target's report as the first line of its shared row: plus one, or 0 if there is none.
uint64_t reportNumberOf(Core::Result<Traffic::RegisteredTarget> const& target)
{
    auto const sequence = isError(target) ? std::nullopt : valueOf(target).sequence;
    return sequence && *sequence >= 0 ? static_cast<uint64_t>(*sequence) + 1 : 0;
}

}

RowAdopter::RowAdopter(EntryState& state)
    : m_state(state)
    , m_crashRows(state)
{
}

bool RowAdopter::isFirstRefusal(std::string const& key, uint64_t revision)
{
    // Targets rewrite their rows with each heartbeat; each invalid row is logged once.
    return m_loggedInvalidRows.emplace(key, revision).second;
}

Traffic::SharedRows::Table RowAdopter::sharedTable(
    std::string_view table, std::vector<StoreRow> const& rows, Core::Instant now)
{
    if (table == Platform::Table::targets)
        return sharedTargets(rows, now);
    Traffic::SharedRows::Table result;
    for (auto const& row : rows)
        result.emplace(row.key, sharedText(row));
    return result;
}

Traffic::SharedRows::Table RowAdopter::sharedTargets(std::vector<StoreRow> const& rows, Core::Instant now)
{
    auto const& inForce = m_state.sharedRows.table(Platform::Table::targets);
    Traffic::SharedRows::Table result;
    std::set<std::string_view> present;
    for (auto const& row : rows) {
        present.insert(row.key);
        auto const target = Platform::decodeTarget(row);
        if (isError(target) && isFirstRefusal("target " + row.key, 0))
            Telemetry::EventLine("target_refused").add("reason", errorOf(target).detail).logWarning();
        bool const isOutdated = !isError(target) && !isNewestStored(valueOf(target), now);
        auto const content = isError(target) ? std::string() : Platform::encodeTarget(valueOf(target));
        auto const kept = inForce.find(row.key);
        bool const isKept = kept != inForce.end() && (isOutdated || storeRow(row.key, kept->second).value == content);
        if (isKept)
            result.insert(*kept);
        else if (!isOutdated)
            result.emplace(row.key, sharedText({ .value = content, .revision = reportNumberOf(target) }));
    }
    m_storedReports.noteAllPresent(present, now);
    m_storedReports.forgetRemoved(now);
    return result;
}

bool RowAdopter::isNewestStored(Traffic::RegisteredTarget const& target, Core::Instant now)
{
    auto const* const stored = m_storedReports.find(target.id);
    auto const* const adopted = m_adoptedReports.find(target.id);
    if (adopted && (!stored || Traffic::isOlder(stored->position, adopted->position)))
        m_storedReports.note(target.id, adopted->position, now);
    auto const report = Traffic::positionOf(target);
    auto const decision = m_storedReports.note(target.id, report, now);
    if (!decision.isUsed && decision.known.outdatedSince == now)
        noteOutdated(target.id, report, decision, "store");
    return decision.isUsed;
}

void RowAdopter::noteOutdated(std::string const& id, Traffic::ReportPosition const& report,
    Traffic::ReportDecision const& decision, std::string_view source)
{
    m_state.metrics.counter("comfreysail_outdated_target_reports_total", { { "source", std::string(source) } }).add();
    Telemetry::EventLine("target_report_outdated")
        .add("target", id)
        .add("source", source)
        .add("started_at", report.startedAt)
        .add("sequence", report.sequence.value_or(-1))
        .add("known_started_at", decision.known.position.startedAt)
        .add("known_sequence", decision.known.position.sequence.value_or(-1))
        .logWarning();
}

void RowAdopter::adoptDecisions()
{
    std::set<std::string, std::less<>> zonesOutOfService;
    std::vector<Traffic::VersionMove> moves;
    for (auto const& [key, text] : m_state.sharedRows.table(Platform::Table::operators)) {
        auto const row = storeRow(key, text);
        if (key == Platform::Key::plan) {
            adoptPlan(row);
        } else if (key.starts_with(Platform::Key::zoneOutPrefix)) {
            zonesOutOfService.insert(key.substr(Platform::Key::zoneOutPrefix.size()));
        } else if (key.starts_with(Platform::Key::movePrefix)) {
            auto move = Platform::decodeMove(row);
            if (!isError(move))
                moves.push_back(takeValue(std::move(move)));
            else if (isFirstRefusal(key, row.revision))
                Telemetry::EventLine("move_refused").add("reason", errorOf(move).detail).logError();
        }
    }
    if (zonesOutOfService != m_state.zonesOutOfService) {
        std::string names;
        for (auto const& zone : zonesOutOfService)
            names += (names.empty() ? "" : ",") + zone;
        Telemetry::EventLine("zones_out").add("zones", names).logInfo();
        m_state.zonesOutOfService = std::move(zonesOutOfService);
    }
    adoptMoves(moves);
    adoptMoveStarts(Core::monotonicNow());
    adoptResults();
    m_crashRows.adopt(Core::monotonicNow());
    m_state.retries.setDaemons(m_state.sharedRows.table(Platform::Table::members).size());
}

void RowAdopter::adoptPlan(StoreRow const& row)
{
    if (m_state.planRowRevision == row.revision)
        return;
    // Also of a refused plan: this is called with each change of any row, and decoding a large plan is expensive.
    m_state.planRowRevision = row.revision;
    auto plan = Platform::decodePlan(row);
    if (isError(plan)) {
        if (isFirstRefusal(row.key + "@" + std::to_string(row.revision), row.revision))
            Telemetry::EventLine("settings_refused").add("reason", errorOf(plan).detail).logError();
        return;
    }
    auto const revision = valueOf(plan).revision;
    if (m_state.plan && revision <= m_state.plan->revision) {
        Telemetry::EventLine("settings_not_newer").add("revision", revision).logWarning();
        return;
    }
    Telemetry::EventLine("settings_adopted")
        .add("revision", revision)
        .add("routes", valueOf(plan).routes.size())
        .add("departments", valueOf(plan).keys ? valueOf(plan).keys->departments().size() : 0)
        .add("api_keys", valueOf(plan).keys ? valueOf(plan).keys->keyCount() : 0)
        .logInfo();
    m_state.plan = std::make_shared<Traffic::TrafficPlan const>(takeValue(std::move(plan)));
}

std::optional<MoveInProgress> RowAdopter::restoredMove(Traffic::VersionMove const& order)
{
    auto const found = m_state.moves.find(order.service);
    auto const lost = m_state.movesWithoutOrder.find(order.service);
    MoveInProgress const* known = nullptr;
    if (found != m_state.moves.end())
        known = &found->second;
    else if (lost != m_state.movesWithoutOrder.end())
        known = &lost->second;
    if (!known || !Traffic::isSameOrder(known->move, order))
        return std::nullopt;
    auto restored = *known;
    if (m_state.verdicts.contains(order.service) && m_state.verdicts[order.service] == restored.move.orderedAt)
        noteVerdict(m_state, order.service, order.orderedAt);
    restored.move = order;
    // The store may have lost the rows about it, too.
    restored.isStartKnown = false;
    restored.resultRevision = 0;
    return restored;
}

void RowAdopter::noteMoveEnd(MoveInProgress const& progress)
{
    auto& history = m_state.versionHistories[progress.move.service];
    history = Traffic::historyAfter(std::move(history), progress.move.toVersion, progress.state);
}

void RowAdopter::adoptMoves(std::vector<Traffic::VersionMove> const& moves)
{
    // The result of a move may arrive together with the order that replaces it.
    adoptResults();
    std::set<std::string, std::less<>> present;
    for (auto const& move : moves) {
        present.insert(move.service);
        auto const found = m_state.moves.find(move.service);
        if (found != m_state.moves.end() && found->second.move.orderedAt >= move.orderedAt)
            continue;
        auto restored = restoredMove(move);
        m_state.movesWithoutOrder.erase(move.service);
        if (restored) {
            Telemetry::EventLine("move_order_restored")
                .add("service", move.service)
                .add("to", move.toVersion)
                .add("state", static_cast<int>(restored->state))
                .logInfo();
            m_state.moves.insert_or_assign(move.service, std::move(*restored));
            continue;
        }
        if (found != m_state.moves.end())
            noteMoveEnd(found->second);
        MoveInProgress progress;
        progress.move = move;
        progress.startedAt = Core::monotonicNow();
        m_state.moves.insert_or_assign(move.service, std::move(progress));
        auto const& history = m_state.versionHistories[move.service];
        Telemetry::EventLine("move_ordered")
            .add("service", move.service)
            .add("to", move.toVersion)
            .add("current", history.current)
            .add("rejected", boost::algorithm::join(history.rejected, ","))
            .logInfo();
    }
    std::erase_if(m_state.moves, [&](auto const& item) {
        if (present.contains(item.first))
            return false;
        noteMoveEnd(item.second);
        auto const tableEra = Traffic::positionOf(m_state.sharedRows.revisionOf(Platform::Table::operators)).era;
        if (Traffic::positionOf(item.second.move.orderedAt).era < tableEra)
            m_state.movesWithoutOrder.insert_or_assign(item.first, item.second);
        return true;
    });
    std::set<Traffic::EvidenceLedger::Move> orders;
    for (auto const& [service, progress] : m_state.moves)
        orders.insert(progress.move.orderedAt);
    m_state.evidence.setMoves(orders);
    for (auto const& [service, progress] : m_state.moves)
        m_state.evidence.note(progress.move.orderedAt, m_state.evidenceOrigin, progress.evidence);
}

void RowAdopter::noteEarlierStart(std::string const& service, Traffic::MoveStart const& start)
{
    // A daemon that was running then knows more than the row, which says nothing about the end of that move.
    auto& history = m_state.versionHistories[service];
    bool const isKnown = history != Traffic::VersionHistory {};
    if (start.toVersion.empty() || isKnown)
        return;
    history = Traffic::historyAfter(start.history, start.toVersion, MoveState::Running);
}

void RowAdopter::adoptMoveStarts(Core::Instant now)
{
    // A daemon that runs hears of an order within this time.
    constexpr Core::Duration maxDelayOfOrder = std::chrono::seconds(2);
    for (auto const& [service, text] : m_state.sharedRows.table(Platform::Table::moveStarts)) {
        auto const found = m_state.moves.find(service);
        auto const start = Traffic::parseMoveStart(storeRow(service, text).value);
        if (found == m_state.moves.end() || !start)
            continue;
        auto& progress = found->second;
        if (progress.move.orderedAt > start->orderedAt)
            noteEarlierStart(service, *start);
        if (progress.move.orderedAt != start->orderedAt)
            continue;
        auto const startedAt = m_state.storeClock.instantOf(start->startedAt);
        if (progress.isStartKnown || !startedAt)
            continue;
        progress.isStartKnown = true;
        progress.missedTrialStart = progress.missedTrialStart || progress.startedAt - *startedAt > maxDelayOfOrder;
        progress.startedAt = std::min(progress.startedAt, *startedAt);
        auto& history = m_state.versionHistories[service];
        history = Traffic::mergedHistory(std::move(history), start->history);
        Telemetry::EventLine("move_start_known")
            .add("service", service)
            .add("elapsed_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - progress.startedAt).count())
            .add("missed_trial_start", progress.missedTrialStart)
            .logInfo();
    }
}

void RowAdopter::adoptResults()
{
    for (auto const& [key, text] : m_state.sharedRows.table(Platform::Table::results)) {
        auto const row = storeRow(key, text);
        auto const result = Platform::decodeMoveResult(row);
        if (isError(result)) {
            if (isFirstRefusal("result " + key, row.revision))
                Telemetry::EventLine("move_result_refused").add("reason", errorOf(result).detail).logWarning();
            continue;
        }
        auto const found = m_state.moves.find(valueOf(result).service);
        if (found == m_state.moves.end())
            continue;
        auto& progress = found->second;
        // The revisions of two eras say nothing about the order of the two rows.
        bool const isOfThisEra
            = Traffic::positionOf(row.revision).era == Traffic::positionOf(progress.move.orderedAt).era;
        if (!isOfThisEra)
            continue;
        progress.resultRevision = std::max(progress.resultRevision, row.revision);
        bool const isAboutThisOrder
            = valueOf(result).toVersion == progress.move.toVersion && row.revision > progress.move.orderedAt;
        if (row.revision < progress.move.orderedAt && valueOf(result).state != MoveState::Running) {
            auto& history = m_state.versionHistories[found->first];
            history = Traffic::historyAfter(std::move(history), valueOf(result).toVersion, valueOf(result).state);
        }
        if (isAboutThisOrder && progress.state == MoveState::Running && valueOf(result).state != MoveState::Running)
            endMove(found->first, progress, valueOf(result).state);
    }
    for (auto const& [service, orderedAt] : m_state.verdicts) {
        auto const found = m_state.moves.find(service);
        bool const isAboutThisOrder = found != m_state.moves.end() && found->second.move.orderedAt == orderedAt;
        if (isAboutThisOrder && found->second.state == MoveState::Running)
            endMove(service, found->second, MoveState::RolledBack);
    }
}

void RowAdopter::adoptTargetRow(std::string const& key, std::optional<std::string> const& text,
    std::vector<Traffic::RegisteredTarget>& changed, std::vector<std::string>& removed, Core::Instant now)
{
    m_targetsWithOlderRow.erase(key);
    auto target = text ? Platform::decodeTarget(storeRow(key, *text)) : Error { ErrorKind::MalformedMessage, {} };
    if (isError(target)) {
        removed.push_back(key);
        m_adoptedReports.noteRemoved(key, now);
        return;
    }
    auto report = Traffic::positionOf(valueOf(target));
    if (auto const number = storeRow(key, *text).revision; number > 0)
        report.sequence = static_cast<int64_t>(number - 1);
    auto const decision = m_adoptedReports.note(key, report, now);
    if (decision.isUsed) {
        changed.push_back(takeValue(std::move(target)));
        return;
    }
    m_targetsWithOlderRow.insert(key);
    if (decision.known.outdatedSince == now)
        noteOutdated(key, report, decision, "daemon");
    auto const* const inForce = m_state.directory.find(key);
    if (inForce && !decision.known.removedAt)
        changed.push_back(inForce->target);
}

void RowAdopter::adoptTargets(Core::Instant now)
{
    auto const& rows = m_state.sharedRows;
    auto const& table = rows.table(Platform::Table::targets);
    auto const changes = m_adoptedTargetsVersion ? rows.changesSince(Platform::Table::targets, *m_adoptedTargetsVersion)
                                                 : std::nullopt;
    std::vector<Traffic::RegisteredTarget> changed;
    std::vector<std::string> removed;
    if (changes) {
        // An outdated row counts after some time, although it does not change.
        for (auto const& key : std::set(m_targetsWithOlderRow)) {
            if (auto const row = table.find(key); row != table.end())
                adoptTargetRow(key, row->second, changed, removed, now);
        }
        for (auto const& row : *changes)
            adoptTargetRow(row.key, row.text, changed, removed, now);
        m_state.directory.applyChanges(changed, removed, now);
    } else {
        std::set<std::string_view> present;
        for (auto const& [key, text] : table) {
            present.insert(key);
            adoptTargetRow(key, text, changed, removed, now);
        }
        m_adoptedReports.noteAllPresent(present, now);
        m_state.directory.replaceAll(changed, now);
    }
    m_adoptedReports.forgetRemoved(now);
    m_adoptedTargetsVersion = rows.version();
    m_state.hasReadTargets = true;
}

}
