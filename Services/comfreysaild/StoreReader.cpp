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
    m_state.sharedRows.replaceTable(table, m_adopter.sharedTable(table, *rows), m_lastRevision, m_isLastReadConsistent);
    co_return true;
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
