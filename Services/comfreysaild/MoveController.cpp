#include "MoveController.h"

#include <boost/asio/steady_timer.hpp>
#include <random>

namespace Comfreysail::Daemon {

namespace asio = boost::asio;
using HTTP::awaitable;
using Platform::StoreRow;
using Traffic::MoveState;

namespace {

// Upper bound of a random delay before writing a result, so that most daemons that reach the same verdict find the row
// of the first one.
constexpr int maxResultDelayMilliseconds = 250;
constexpr unsigned maxResultAttempts = 3;

}

MoveController::MoveController(asio::io_context& context, StoreReader& reader, Relay& relay, RowAdopter& adopter,
    EntryState& state, std::string vmName)
    : m_context(context)
    , m_reader(reader)
    , m_relay(relay)
    , m_adopter(adopter)
    , m_state(state)
    , m_vmName(std::move(vmName))
{
}

awaitable<void> MoveController::pause(Core::Duration duration)
{
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(HTTP::useTuple);
}

awaitable<void> MoveController::advanceMoves()
{
    std::vector<std::string> running;
    for (auto const& [service, progress] : m_state.moves) {
        bool const isOpen = progress.state == MoveState::Running || progress.resultRevision <= progress.move.orderedAt;
        if (isOpen)
            running.push_back(service);
    }
    if (running.empty())
        co_return;
    co_await m_reader.readTable(Platform::Table::results);
    m_adopter.adoptDecisions();
    m_relay.noteChange();
    co_await shareStarts();
    for (auto const& service : running) {
        co_await exchangeEvidence(service);
        co_await decide(service);
    }
}

awaitable<void> MoveController::shareStarts()
{
    auto const servicesWithoutStart = [this] {
        std::vector<std::string> services;
        for (auto const& [service, progress] : m_state.moves) {
            if (progress.state == MoveState::Running && !progress.isStartKnown)
                services.push_back(service);
        }
        return services;
    };
    if (servicesWithoutStart().empty())
        co_return;
    bool const isRead = co_await m_reader.readTable(Platform::Table::moveStarts);
    m_adopter.adoptDecisions();
    m_relay.noteChange();
    if (!isRead)
        co_return;
    for (auto const& service : servicesWithoutStart())
        co_await writeStart(service);
}

awaitable<void> MoveController::writeStart(std::string service)
{
    auto const found = m_state.moves.find(service);
    auto const startedAt = found == m_state.moves.end() ? std::nullopt : m_state.storeClock.at(found->second.startedAt);
    if (!startedAt)
        co_return;
    auto const& rows = m_state.sharedRows.table(Platform::Table::moveStarts);
    auto const known = rows.find(service);
    StoreRow row = known == rows.end() ? StoreRow {} : storeRow(service, known->second);
    row.table = Platform::Table::moveStarts;
    row.key = service;
    auto const history = m_state.versionHistories.find(service);
    row.value = Traffic::moveStartText({ found->second.move.orderedAt, *startedAt, found->second.move.toVersion,
        history == m_state.versionHistories.end() ? Traffic::VersionHistory {} : history->second });
    // Of several daemons that see the order at the same time the first one decides.
    co_await m_reader.write(std::move(row), true);
}

awaitable<void> MoveController::exchangeEvidence(std::string service)
{
    auto found = m_state.moves.find(service);
    if (found == m_state.moves.end() || found->second.state != MoveState::Running)
        co_return;
    auto const orderedAt = found->second.move.orderedAt;
    auto text = m_state.evidence.textOf(orderedAt);
    if (m_writtenEvidence[service] != text) {
        StoreRow row { service, m_vmName, text, 0, std::string(Platform::Table::evidence) };
        bool const isWritten = co_await m_reader.write(std::move(row), false);
        if (isWritten)
            m_writtenEvidence[service] = text;
    }
    auto const rows = co_await m_reader.readRows(Platform::Table::evidence, service);
    for (auto const& row : rows.value_or(std::vector<StoreRow> {}))
        m_state.evidence.merge(row.value);
    if (rows)
        m_orderOfReadEvidence[service] = orderedAt;
}

bool MoveController::judge(std::string const& service)
{
    auto const found = m_state.moves.find(service);
    if (found == m_state.moves.end() || found->second.state != MoveState::Running)
        return false;
    auto const& move = found->second.move;
    auto const elapsed = Core::monotonicNow() - found->second.startedAt;
    auto const [newVersion, oldVersion] = m_state.evidence.total(move.orderedAt);
    bool const isTrial = Traffic::isTrial(move, elapsed, {});
    bool const isBad = Traffic::isNewVersionBad(newVersion, oldVersion, isTrial, {});
    Telemetry::EventLine(isBad ? "move_judged_bad" : "move_weighed")
        .add("service", service)
        .add("to", move.toVersion)
        .add("elapsed_ms", std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count())
        .add("trial", isTrial)
        .add("requests", newVersion.requests)
        .add("failures", newVersion.failures)
        .add("slow", newVersion.slow)
        .add("old_requests", oldVersion.requests)
        .add("old_failures", oldVersion.failures)
        .add("old_slow", oldVersion.slow)
        .logInfo();
    if (!isBad)
        return false;
    // The bad version gets no more requests, even if the result cannot be written now.
    noteVerdict(m_state, service, move.orderedAt);
    m_adopter.adoptDecisions();
    m_relay.noteChange();
    return true;
}

void MoveController::judgeMoves()
{
    std::vector<std::string> services;
    for (auto const& [service, progress] : m_state.moves)
        services.push_back(service);
    for (auto const& service : services)
        judge(service);
}

awaitable<void> MoveController::decide(std::string service)
{
    auto const found = m_state.moves.find(service);
    if (found == m_state.moves.end())
        co_return;
    auto& progress = found->second;
    if (progress.state != MoveState::Running) {
        // The verdict is known, but its result row is not written yet.
        if (progress.resultRevision <= progress.move.orderedAt)
            co_await writeResult(service, progress.state);
        co_return;
    }
    auto const elapsed = Core::monotonicNow() - progress.startedAt;
    if (judge(service))
        co_await writeResult(service, MoveState::RolledBack);
    else if (Traffic::isFinished(progress.move, elapsed, {})
        && m_orderOfReadEvidence[service] == progress.move.orderedAt)
        co_await writeResult(service, MoveState::Completed);
}

awaitable<void> MoveController::writeResult(std::string service, MoveState state)
{
    thread_local std::mt19937 generator { std::random_device {}() };
    std::uniform_int_distribution<int> spread(0, maxResultDelayMilliseconds);
    for (unsigned attempts = 0; attempts < maxResultAttempts; ++attempts) {
        co_await pause(std::chrono::milliseconds(spread(generator)));
        bool const isRead = co_await m_reader.readTable(Platform::Table::results);
        m_adopter.adoptDecisions();
        m_relay.noteChange();
        auto const found = m_state.moves.find(service);
        bool const isOpen = isRead && found != m_state.moves.end()
            && (found->second.state == MoveState::Running || found->second.state == state)
            && found->second.resultRevision <= found->second.move.orderedAt;
        if (!isOpen)
            co_return;
        auto const& move = found->second.move;
        StoreRow row;
        row.table = Platform::Table::results;
        row.key = std::string(Platform::Key::movePrefix) + service;
        row.value = Platform::encodeMoveResult({ service, move.toVersion, state, 0 });
        row.revision = found->second.resultRevision;
        co_await m_reader.write(std::move(row), true);
    }
}

}
