#include "MoveController.h"

#include <boost/asio/steady_timer.hpp>
#include <random>
#include <sstream>

namespace Comfreysail::Daemon {

namespace asio = boost::asio;
using HTTP::awaitable;
using Platform::StoreRow;
using Traffic::MoveState;
using Traffic::VersionEvidence;

namespace {

// Upper bound of a random delay before writing a result, so that most daemons that reach the same verdict find the row
// of the first one.
constexpr int maxResultDelayMilliseconds = 250;
constexpr unsigned maxResultAttempts = 3;

std::string evidenceText(uint64_t orderedAt, VersionEvidence const& newVersion, VersionEvidence const& oldVersion)
{
    std::string text = std::to_string(orderedAt);
    for (auto const* evidence : { &newVersion, &oldVersion }) {
        for (auto const number : { evidence->requests, evidence->failures, evidence->slow })
            text += " " + std::to_string(number);
    }
    return text;
}

/// Parses the result of evidenceText(). Returns the evidence on the new and the old version, or std::nullopt if the
/// text is invalid or about another move order.
std::optional<std::pair<VersionEvidence, VersionEvidence>> parseEvidence(std::string const& text, uint64_t orderedAt)
{
    std::istringstream stream(text);
    uint64_t move = 0;
    std::pair<VersionEvidence, VersionEvidence> evidence;
    stream >> move;
    for (auto* side : { &evidence.first, &evidence.second })
        stream >> side->requests >> side->failures >> side->slow;
    if (!stream || move != orderedAt)
        return std::nullopt;
    return evidence;
}

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
    for (auto const& service : running) {
        co_await exchangeEvidence(service);
        co_await decide(service);
    }
}

awaitable<void> MoveController::exchangeEvidence(std::string service)
{
    auto found = m_state.moves.find(service);
    if (found == m_state.moves.end() || found->second.state != MoveState::Running)
        co_return;
    auto const own = m_relay.evidence(Core::monotonicNow())[service];
    auto const orderedAt = found->second.move.orderedAt;
    auto text = evidenceText(orderedAt, own.first, own.second);
    if (m_writtenEvidence[service] != text) {
        StoreRow row { service, m_vmName, text, 0, std::string(Platform::Table::evidence) };
        bool const isWritten = co_await m_reader.write(std::move(row), false);
        if (isWritten)
            m_writtenEvidence[service] = text;
    }
    auto const rows = co_await m_reader.readRows(Platform::Table::evidence, service);
    found = m_state.moves.find(service);
    if (found == m_state.moves.end())
        co_return;
    auto sum = own;
    for (auto const& row : rows.value_or(std::vector<StoreRow> {})) {
        auto const evidence = parseEvidence(row.value, orderedAt);
        if (evidence && row.key != m_vmName)
            sum = { sum.first + evidence->first, sum.second + evidence->second };
    }
    found->second.newVersionTotal = sum.first;
    found->second.oldVersionTotal = sum.second;
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
    auto const& newVersion = progress.newVersionTotal;
    auto const elapsed = Core::monotonicNow() - progress.firstSeenAt;
    bool const isTrial = Traffic::isTrial(progress.move, elapsed, {});
    if (Traffic::isNewVersionBad(newVersion, progress.oldVersionTotal, isTrial, {})) {
        Telemetry::EventLine("move_judged_bad")
            .add("service", service)
            .add("to", progress.move.toVersion)
            .add("requests", newVersion.requests)
            .add("failures", newVersion.failures)
            .add("slow", newVersion.slow)
            .logInfo();
        // The bad version gets no more requests, even if the result cannot be written now.
        noteVerdict(m_state, service, progress.move.orderedAt);
        m_adopter.adoptDecisions();
        m_relay.noteChange();
        co_await writeResult(service, MoveState::RolledBack);
    } else if (Traffic::isFinished(progress.move, elapsed, {})) {
        co_await writeResult(service, MoveState::Completed);
    }
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
