#include "StoreReader.h"

namespace Comfreysail::Daemon {

using HTTP::awaitable;
using Platform::StoreRow;
using namespace std::chrono_literals;

namespace {

// A change has to be in force everywhere within 2 s, so the result of a slower call would come too late.
constexpr auto callTimeout = 900ms;
// A page that is arriving is read for longer: with some thousand routes it takes about 1 s on a link of 10 Mbit/s, and
// another call would not be faster.
constexpr auto maxTransferTime = 1500ms;
// In which operators and targets write again what the store has lost.
constexpr auto settlingTime = 2s;
// Daemons write their own rows again with a random delay of up to 3 s.
constexpr auto settlingTimeOfMembers = 5s;

/// How long rows in force outlast those of an older copy; zero for tables whose rows the daemons write again
/// themselves.
Core::Duration settlingTimeOf(std::string_view table)
{
    if (table == Platform::Table::operators || table == Platform::Table::targets)
        return settlingTime;
    return table == Platform::Table::members ? Core::Duration(settlingTimeOfMembers) : Core::Duration {};
}

/// Returns true if the stored settings are newer by the operators' own count, which an older copy does not change.
bool hasNewerPlan(Traffic::SharedRows::Table const& stored, Traffic::SharedRows::Table const& used)
{
    std::string const key(Platform::Key::plan);
    auto const storedRow = stored.find(key);
    auto const usedRow = used.find(key);
    if (storedRow == stored.end() || usedRow == used.end())
        return storedRow != stored.end();
    if (storedRow->second == usedRow->second)
        return false;
    auto const storedPlan = Platform::decodePlan(storeRow(key, storedRow->second));
    auto const usedPlan = Platform::decodePlan(storeRow(key, usedRow->second));
    return !isError(storedPlan) && (isError(usedPlan) || valueOf(storedPlan).revision > valueOf(usedPlan).revision);
}

}

StoreReader::StoreReader(Platform::StoreClient& client, EntryState& state, RowAdopter& adopter)
    : m_client(client)
    , m_state(state)
    , m_adopter(adopter)
{
}

void StoreReader::noteStoreCall(std::string_view table, bool isReachable, std::string_view reason)
{
    auto const result = isReachable ? "answered" : "failed";
    m_state.metrics.counter("comfreysail_store_calls_total", { { "table", std::string(table) }, { "result", result } })
        .add();
    auto const known = m_isTableReachable.find(table);
    if (known != m_isTableReachable.end() && known->second == isReachable)
        return;
    m_isTableReachable[std::string(table)] = isReachable;
    Telemetry::EventLine line(isReachable ? "store_reached" : "store_lost");
    line.add("table", table).add("reason", reason);
    if (isReachable)
        line.logInfo();
    else
        line.logWarning();
}

awaitable<std::optional<std::vector<StoreRow>>> StoreReader::readRows(std::string_view table, std::string_view part)
{
    std::vector<StoreRow> rows;
    std::string from;
    size_t pages = 0;
    while (true) {
        Platform::RowRange range { std::string(table), std::string(part), from, {}, 0 };
        auto const deadline = Core::monotonicNow() + callTimeout;
        auto page = co_await m_client.readRows(std::move(range), deadline, maxTransferTime);
        if (isError(page)) {
            noteStoreCall(table, false, errorOf(page).detail);
            co_return std::nullopt;
        }
        noteStoreCall(table, true, "");
        auto const& answer = valueOf(page);
        if (answer.storeTime)
            m_state.storeClock.note(*answer.storeTime, Core::monotonicNow());
        bool const isOtherEra
            = pages > 0 && Traffic::positionOf(answer.storeRevision).era != Traffic::positionOf(m_lastRevision).era;
        if (isOtherEra)
            co_return std::nullopt;
        // Later pages may be newer, so all rows are at least as new as the first page's revision.
        if (pages == 0)
            m_lastRevision = answer.storeRevision;
        m_isLastReadConsistent = ++pages == 1;
        for (auto const& row : answer.rows) {
            // Each page starts with the last key of the previous one.
            if (rows.empty() || row.key != rows.back().key)
                rows.push_back(row);
        }
        if (!answer.hasMore || answer.rows.empty())
            break;
        from = answer.rows.back().key;
    }
    co_return rows;
}

awaitable<bool> StoreReader::readTable(std::string_view table)
{
    auto const rows = co_await readRows(table, "");
    if (!rows)
        co_return false;
    if (m_lastRevision < m_state.sharedRows.revisionOf(table)) {
        Telemetry::EventLine("stale_store_answer")
            .add("table", table)
            .add("revision", m_lastRevision)
            .add("known", m_state.sharedRows.revisionOf(table))
            .logWarning();
        co_return false;
    }
    auto const now = Core::monotonicNow();
    auto used = settle(table, m_adopter.sharedTable(table, *rows, now), now);
    // Other daemons end their settling time at another moment, so the digests would differ.
    bool const isSnapshot = m_isLastReadConsistent && !m_restoredTables.contains(table);
    m_state.sharedRows.replaceTable(table, used, m_lastRevision, isSnapshot);
    co_return true;
}

Traffic::SharedRows::Table StoreReader::settle(
    std::string_view table, Traffic::SharedRows::Table stored, Core::Instant now)
{
    auto const known = m_state.sharedRows.revisionOf(table);
    auto const era = Traffic::positionOf(m_lastRevision).era;
    if (known > 0 && Traffic::positionOf(known).era < era) {
        auto const& inForce = m_state.sharedRows.table(table);
        Telemetry::EventLine("store_restored")
            .add("table", table)
            .add("era", era)
            .add("rows_in_force", inForce.size())
            .add("rows_stored", stored.size())
            .logWarning();
        m_restoredTables.insert_or_assign(
            std::string(table), Traffic::RestoredTable { inForce, stored, now, settlingTimeOf(table) });
    }
    auto const found = m_restoredTables.find(table);
    if (found == m_restoredTables.end())
        return stored;
    if (!Traffic::isSettling(found->second, now)) {
        m_restoredTables.erase(found);
        Telemetry::EventLine("store_settled").add("table", table).add("era", era).logInfo();
        return stored;
    }
    auto used = Traffic::settledRows(found->second, stored, now);
    if (table == Platform::Table::operators && hasNewerPlan(stored, used))
        used.insert_or_assign(std::string(Platform::Key::plan), stored.find(Platform::Key::plan)->second);
    return used;
}

awaitable<bool> StoreReader::write(StoreRow row, bool isConditional)
{
    auto const table = row.table;
    Platform::RowTransaction transaction;
    if (isConditional)
        transaction.conditions.push_back(row);
    transaction.puts.push_back(std::move(row));
    bool const isWritten = co_await write(table, std::move(transaction));
    co_return isWritten;
}

awaitable<bool> StoreReader::write(std::string_view table, Platform::RowTransaction transaction)
{
    auto const deadline = Core::monotonicNow() + callTimeout;
    auto const written = co_await m_client.write(std::move(transaction), deadline);
    noteStoreCall(table, !isError(written), isError(written) ? errorOf(written).detail : "");
    co_return !isError(written) && valueOf(written) == Platform::WriteEnd::Written;
}

}
