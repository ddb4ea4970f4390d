#include "StoreFollower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>

namespace Comfreysail::Daemon {

namespace asio = boost::asio;
using Core::Instant;
using HTTP::awaitable;
using Platform::StoreRow;
using Traffic::MoveState;
using namespace std::chrono_literals;

namespace {

// A change is in force everywhere within 2 s, so two readings with a slow store between them have to fit into that.
constexpr auto readInterval = 900ms;
constexpr auto readTimeout = 900ms;
constexpr auto retryInterval = 250ms;
constexpr auto moveInterval = 700ms;
// Daemons that reach a verdict together wait for a random part of this, so that most of them see the first one's row.
constexpr int verdictSpreadMilliseconds = 250;

std::string evidenceText(MoveInProgress const& progress)
{
    std::string text = std::to_string(progress.move.orderedAt);
    for (auto const* evidence : { &progress.newVersion, &progress.oldVersion }) {
        for (auto const number : { evidence->requests, evidence->failures, evidence->slow })
            text += " " + std::to_string(number);
    }
    return text;
}

/// The counts of evidenceText() when they belong to this move.
std::optional<std::array<Traffic::VersionEvidence, 2>> parseEvidence(std::string const& text, uint64_t orderedAt)
{
    std::istringstream stream(text);
    uint64_t move = 0;
    std::array<Traffic::VersionEvidence, 2> evidence;
    stream >> move;
    for (auto& side : evidence)
        stream >> side.requests >> side.failures >> side.slow;
    if (!stream || move != orderedAt)
        return std::nullopt;
    return evidence;
}

}

StoreFollower::StoreFollower(
    asio::io_context& context, Platform::StoreClient& client, EntryState& state, std::string vmName)
    : m_context(context)
    , m_client(client)
    , m_state(state)
    , m_vmName(std::move(vmName))
{
}

void StoreFollower::start()
{
    asio::co_spawn(m_context, followOperators(), asio::detached);
    asio::co_spawn(m_context, followTargets(), asio::detached);
    asio::co_spawn(m_context, followMoves(), asio::detached);
}

awaitable<void> StoreFollower::pause(Core::Duration duration)
{
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(HTTP::useTuple);
}

void StoreFollower::noteStore(std::string_view table, bool isReachable, std::string_view reason)
{
    auto const known = m_isReachable.find(table);
    if (known != m_isReachable.end() && known->second == isReachable)
        return;
    m_isReachable[std::string(table)] = isReachable;
    Telemetry::EventLine line(isReachable ? "store_reached" : "store_lost");
    line.add("table", table).add("reason", reason);
    if (isReachable)
        line.logInfo();
    else
        line.logWarning();
}

awaitable<std::optional<std::vector<StoreRow>>> StoreFollower::readTable(std::string_view table, std::string_view part)
{
    std::vector<StoreRow> rows;
    std::string from;
    while (true) {
        auto const deadline = Core::monotonicNow() + readTimeout;
        Platform::RowRange range { std::string(table), std::string(part), from, {}, 0 };
        auto page = co_await m_client.readRows(std::move(range), deadline);
        if (isError(page)) {
            noteStore(table, false, errorOf(page).detail);
            m_state.metrics
                .counter("comfreysail_store_reads_total", { { "table", std::string(table) }, { "result", "failed" } })
                .add();
            co_return std::nullopt;
        }
        m_state.metrics
            .counter("comfreysail_store_reads_total", { { "table", std::string(table) }, { "result", "read" } })
            .add();
        auto const& answer = valueOf(page);
        auto& newest = m_newestRevision[std::string(table) + "/" + std::string(part)];
        if (answer.storeRevision < newest) {
            Telemetry::EventLine("stale_store_answer")
                .add("table", table)
                .add("revision", answer.storeRevision)
                .add("newest", newest)
                .logWarning();
            co_return std::nullopt;
        }
        newest = answer.storeRevision;
        for (auto const& row : answer.rows) {
            // A page begins with the key that ended the one before it.
            if (rows.empty() || row.key != rows.back().key)
                rows.push_back(row);
        }
        if (!answer.hasMore || answer.rows.empty())
            break;
        from = answer.rows.back().key;
    }
    noteStore(table, true, "");
    co_return rows;
}

awaitable<void> StoreFollower::followOperators()
{
    while (true) {
        auto const rows = co_await readTable(Platform::Table::operators, "");
        if (rows)
            adoptOperatorRows(*rows);
        co_await pause(rows ? readInterval : retryInterval);
    }
}

awaitable<void> StoreFollower::followTargets()
{
    while (true) {
        auto const rows = co_await readTable(Platform::Table::targets, "");
        if (rows)
            adoptTargets(*rows);
        co_await pause(rows ? readInterval : retryInterval);
    }
}

void StoreFollower::adoptOperatorRows(std::vector<StoreRow> const& rows)
{
    std::set<std::string, std::less<>> zonesOut;
    std::vector<Traffic::VersionMove> moves;
    for (auto const& row : rows) {
        if (row.key == Platform::Key::plan) {
            adoptPlan(row);
        } else if (row.key.starts_with(Platform::Key::zoneOutPrefix)) {
            zonesOut.insert(row.key.substr(Platform::Key::zoneOutPrefix.size()));
        } else if (row.key.starts_with(Platform::Key::movePrefix)) {
            auto move = Platform::decodeMove(row);
            if (!isError(move))
                moves.push_back(takeValue(std::move(move)));
            else if (std::exchange(m_refusedRows[row.key], row.revision) != row.revision)
                Telemetry::EventLine("move_refused").add("reason", errorOf(move).detail).logError();
        }
    }
    if (zonesOut != m_state.zonesOut) {
        std::string names;
        for (auto const& zone : zonesOut)
            names += (names.empty() ? "" : ",") + zone;
        Telemetry::EventLine("zones_out").add("zones", names).logInfo();
        m_state.zonesOut = std::move(zonesOut);
    }
    adoptMoves(moves);
}

void StoreFollower::adoptPlan(StoreRow const& row)
{
    if (m_refusedRows.contains(row.key) && m_refusedRows[row.key] == row.revision)
        return;
    auto plan = Platform::decodePlan(row);
    if (isError(plan)) {
        m_refusedRows[row.key] = row.revision;
        Telemetry::EventLine("settings_refused").add("reason", errorOf(plan).detail).logError();
        return;
    }
    auto const revision = valueOf(plan).revision;
    if (m_state.plan && revision <= m_state.plan->revision)
        return;
    Telemetry::EventLine("settings_adopted")
        .add("revision", revision)
        .add("routes", valueOf(plan).routes.size())
        .logInfo();
    m_state.plan = std::make_shared<Traffic::TrafficPlan const>(takeValue(std::move(plan)));
}

void StoreFollower::adoptMoves(std::vector<Traffic::VersionMove> const& moves)
{
    std::set<std::string, std::less<>> present;
    for (auto const& move : moves) {
        present.insert(move.service);
        auto const found = m_state.moves.find(move.service);
        if (found != m_state.moves.end() && found->second.move.orderedAt == move.orderedAt)
            continue;
        MoveInProgress progress;
        progress.move = move;
        progress.firstSeenAt = Core::monotonicNow();
        m_state.moves.insert_or_assign(move.service, std::move(progress));
        Telemetry::EventLine("move_ordered").add("service", move.service).add("to", move.toVersion).logInfo();
    }
    std::erase_if(m_state.moves, [&](auto const& item) { return !present.contains(item.first); });
}

void StoreFollower::adoptTargets(std::vector<StoreRow> const& rows)
{
    std::vector<Traffic::RegisteredTarget> targets;
    for (auto const& row : rows) {
        auto target = Platform::decodeTarget(row);
        if (!isError(target))
            targets.push_back(takeValue(std::move(target)));
        else if (std::exchange(m_refusedRows[row.key], row.revision) == 0)
            Telemetry::EventLine("target_refused").add("reason", errorOf(target).detail).logWarning();
    }
    m_state.directory.replaceAll(targets, Core::monotonicNow());
    m_state.hasReadTargets = true;
}

awaitable<void> StoreFollower::followMoves()
{
    while (true) {
        co_await pause(moveInterval);
        std::vector<std::string> running;
        bool hasUnknown = false;
        for (auto const& [service, progress] : m_state.moves) {
            hasUnknown = hasUnknown || progress.state == MoveState::Running;
            if (progress.state == MoveState::Running)
                running.push_back(service);
        }
        if (!hasUnknown)
            continue;
        co_await readResults();
        for (auto const& service : running)
            co_await exchangeEvidence(service);
        for (auto const& service : running)
            co_await decide(service);
    }
}

awaitable<void> StoreFollower::readResults()
{
    auto const rows = co_await readTable(Platform::Table::results, "");
    if (!rows)
        co_return;
    for (auto const& row : *rows) {
        auto const result = Platform::decodeMoveResult(row);
        if (isError(result)) {
            if (std::exchange(m_refusedRows[row.key], row.revision) != row.revision)
                Telemetry::EventLine("move_result_refused").add("reason", errorOf(result).detail).logWarning();
            continue;
        }
        auto const found = m_state.moves.find(valueOf(result).service);
        if (found == m_state.moves.end())
            continue;
        auto& progress = found->second;
        progress.resultRevision = row.revision;
        bool const isAboutThisOrder
            = valueOf(result).toVersion == progress.move.toVersion && row.revision > progress.move.orderedAt;
        if (isAboutThisOrder && progress.state == MoveState::Running && valueOf(result).state != MoveState::Running) {
            progress.state = valueOf(result).state;
            Telemetry::EventLine("move_ended")
                .add("service", found->first)
                .add("to", progress.move.toVersion)
                .add("completed", progress.state == MoveState::Completed)
                .logInfo();
        }
    }
}

awaitable<void> StoreFollower::exchangeEvidence(std::string service)
{
    auto found = m_state.moves.find(service);
    if (found == m_state.moves.end() || found->second.state != MoveState::Running)
        co_return;
    auto text = evidenceText(found->second);
    if (m_writtenEvidence[service] != text) {
        Platform::RowTransaction write;
        write.puts.push_back({ service, m_vmName, text, 0, std::string(Platform::Table::evidence) });
        auto const deadline = Core::monotonicNow() + readTimeout;
        auto const written = co_await m_client.write(std::move(write), deadline);
        if (isError(written))
            noteStore(Platform::Table::evidence, false, errorOf(written).detail);
        else
            m_writtenEvidence[service] = text;
    }
    auto const rows = co_await readTable(Platform::Table::evidence, service);
    found = m_state.moves.find(service);
    if (!rows || found == m_state.moves.end())
        co_return;
    auto& progress = found->second;
    Traffic::VersionEvidence newVersion;
    Traffic::VersionEvidence oldVersion;
    for (auto const& row : *rows) {
        auto const evidence = parseEvidence(row.value, progress.move.orderedAt);
        if (!evidence || row.key == m_vmName)
            continue;
        newVersion = newVersion + (*evidence)[0];
        oldVersion = oldVersion + (*evidence)[1];
    }
    progress.newVersionElsewhere = newVersion;
    progress.oldVersionElsewhere = oldVersion;
}

awaitable<void> StoreFollower::decide(std::string service)
{
    auto const found = m_state.moves.find(service);
    if (found == m_state.moves.end() || found->second.state != MoveState::Running)
        co_return;
    auto const& progress = found->second;
    auto const newVersion = progress.newVersion + progress.newVersionElsewhere;
    auto const oldVersion = progress.oldVersion + progress.oldVersionElsewhere;
    if (Traffic::isBad(newVersion, oldVersion, {})) {
        Telemetry::EventLine("move_judged_bad")
            .add("service", service)
            .add("to", progress.move.toVersion)
            .add("requests", newVersion.requests)
            .add("failures", newVersion.failures)
            .add("slow", newVersion.slow)
            .logInfo();
        co_await writeResult(service, MoveState::RolledBack);
    } else if (Traffic::isFinished(progress.move, Core::monotonicNow() - progress.firstSeenAt, {})) {
        co_await writeResult(service, MoveState::Completed);
    }
}

awaitable<void> StoreFollower::writeResult(std::string service, MoveState state)
{
    thread_local std::mt19937 generator { std::random_device {}() };
    std::uniform_int_distribution<int> spread(0, verdictSpreadMilliseconds);
    // A bad version gets nothing from here on, whether or not the operators can be told now.
    if (state == MoveState::RolledBack)
        m_state.moves.find(service)->second.state = state;
    while (true) {
        co_await pause(std::chrono::milliseconds(spread(generator)));
        co_await readResults();
        auto const found = m_state.moves.find(service);
        bool const isOpen = found != m_state.moves.end()
            && (found->second.state == MoveState::Running || found->second.state == state)
            && found->second.resultRevision <= found->second.move.orderedAt;
        if (!isOpen)
            co_return;
        auto const& move = found->second.move;
        Platform::StoreRow row;
        row.table = Platform::Table::results;
        row.key = std::string(Platform::Key::movePrefix) + service;
        row.value = Platform::encodeMoveResult({ service, move.toVersion, state, 0 });
        row.revision = found->second.resultRevision;
        Platform::RowTransaction write;
        write.conditions.push_back(row);
        write.puts.push_back(std::move(row));
        auto const deadline = Core::monotonicNow() + readTimeout;
        auto const written = co_await m_client.write(std::move(write), deadline);
        if (isError(written)) {
            noteStore(Platform::Table::results, false, errorOf(written).detail);
            co_await pause(retryInterval);
        }
    }
}

}
