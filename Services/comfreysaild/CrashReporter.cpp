#include "CrashReporter.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Comfreysail::Daemon {

namespace asio = boost::asio;
using Core::Duration;
using Core::Instant;
using HTTP::awaitable;
using namespace std::chrono_literals;

namespace {

// Limit of the store for the entries of a transaction.
constexpr size_t maxRowsPerTransaction = 100;
// When a zone fails, each request in flight there is reported. Later reports of the same outage add little.
constexpr size_t maxPending = 500;
// A frequent request is answered by many daemons at once after a crash. A random delay up to this lets most of them
// find that another one has removed the rows.
constexpr auto maxRemovalDelay = 1s;
constexpr auto minRetryDelay = 1s;
constexpr auto maxRetryDelay = 5s;

}

CrashReporter::CrashReporter(asio::io_context& context, StoreReader& reader, EntryState& state)
    : m_context(context)
    , m_reader(reader)
    , m_state(state)
{
}

awaitable<void> CrashReporter::pause(Duration duration)
{
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(HTTP::useTuple);
}

void CrashReporter::report(Retry::CrashReport const& report, Instant crashedAt)
{
    enqueue(Retry::crashRowKey(report), Retry::crashRowValue(m_state.storeClock.at(crashedAt)));
}

void CrashReporter::withdraw(uint64_t fingerprint)
{
    auto const prefix = Retry::crashRowKey({ fingerprint, {} });
    std::erase_if(m_pending, [&](auto const& item) { return item.second && item.first.starts_with(prefix); });
    auto const& table = m_state.sharedRows.table(Platform::Table::crashes);
    for (auto row = table.lower_bound(prefix); row != table.end() && row->first.starts_with(prefix); ++row)
        enqueue(row->first, std::nullopt);
}

void CrashReporter::remove(std::vector<std::string> const& keys)
{
    for (auto const& key : keys)
        enqueue(key, std::nullopt);
}

void CrashReporter::restore(std::map<std::string, std::string> const& rows)
{
    for (auto const& [key, value] : rows)
        enqueue(key, value);
}

void CrashReporter::enqueue(std::string key, std::optional<std::string> value)
{
    if (m_pending.size() >= maxPending) {
        Telemetry::EventLine("crash_row_dropped").add("key", key).add("is_removal", !value).logWarning();
        return;
    }
    m_pending.insert_or_assign(std::move(key), std::move(value));
    if (!std::exchange(m_isWriting, true))
        asio::co_spawn(m_context, writePending(), asio::detached);
}

Platform::RowTransaction CrashReporter::nextTransaction()
{
    auto const& table = m_state.sharedRows.table(Platform::Table::crashes);
    std::erase_if(m_pending, [&](auto const& item) { return !item.second && !table.contains(item.first); });
    Platform::RowTransaction transaction;
    for (auto const& [key, value] : m_pending) {
        if (transaction.puts.size() + transaction.deletes.size() == maxRowsPerTransaction)
            break;
        Platform::StoreRow row { "", key, value.value_or(""), 0, std::string(Platform::Table::crashes) };
        (value ? transaction.puts : transaction.deletes).push_back(std::move(row));
    }
    return transaction;
}

awaitable<void> CrashReporter::writePending()
{
    std::uniform_real_distribution<double> fraction(0, 1);
    auto const randomUpTo
        = [&](Duration longest) { return std::chrono::duration_cast<Duration>(longest * fraction(m_generator)); };
    Duration retryDelay = minRetryDelay;
    while (!m_pending.empty()) {
        bool const hasReport = std::ranges::any_of(m_pending, [](auto const& item) { return item.second.has_value(); });
        if (!hasReport)
            co_await pause(randomUpTo(maxRemovalDelay));
        auto transaction = nextTransaction();
        if (transaction.puts.empty() && transaction.deletes.empty())
            continue;
        auto const changes = transaction;
        bool const isWritten = co_await m_reader.write(Platform::Table::crashes, std::move(transaction));
        Telemetry::EventLine("crash_rows_written")
            .add("reports", changes.puts.size())
            .add("removals", changes.deletes.size())
            .add("written", isWritten)
            .logInfo();
        if (!isWritten) {
            co_await pause(retryDelay + randomUpTo(retryDelay));
            retryDelay = std::min<Duration>(2 * retryDelay, maxRetryDelay);
            continue;
        }
        retryDelay = minRetryDelay;
        // A change that replaced the written one meanwhile is still to be made.
        std::erase_if(m_pending, [&](auto const& item) {
            auto const& rows = item.second ? changes.puts : changes.deletes;
            return std::ranges::any_of(
                rows, [&](auto const& row) { return row.key == item.first && row.value == item.second.value_or(""); });
        });
    }
    m_isWriting = false;
}

}
