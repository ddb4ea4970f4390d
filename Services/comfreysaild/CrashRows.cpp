#include "CrashRows.h"

#include "RowAdopter.h"
#include <algorithm>
#include <utility>

namespace Comfreysail::Daemon {

using Core::Instant;

CrashRows::CrashRows(EntryState& state)
    : m_state(state)
{
}

void CrashRows::adopt(Instant now)
{
    auto const& shared = m_state.sharedRows;
    if (shared.revisionOf(Platform::Table::crashes) == 0)
        return;
    auto const& table = shared.table(Platform::Table::crashes);
    auto const era = Traffic::positionOf(shared.revisionOf(Platform::Table::crashes)).era;
    if (std::exchange(m_era, era).value_or(era) < era)
        noteLostRows(table, now);
    if (shared.versionOf(Platform::Table::crashes) == m_tableVersion)
        return;
    m_tableVersion = shared.versionOf(Platform::Table::crashes);
    std::erase_if(m_rows, [&](auto const& item) {
        auto const& [key, row] = item;
        bool const isRemoved = !table.contains(key) && !row.isLost;
        if (isRemoved && row.report)
            m_state.quarantine.withdraw(*row.report);
        return isRemoved;
    });
    for (auto const& [key, text] : table) {
        auto const found = m_rows.find(key);
        if (found == m_rows.end() || found->second.text != text)
            add(key, text, now);
        else
            found->second.isLost = false;
    }
    m_hasAdopted = true;
}

void CrashRows::noteLostRows(Traffic::SharedRows::Table const& table, Instant now)
{
    for (auto& [key, row] : m_rows) {
        row.isLost = !table.contains(key);
        if (row.isLost && row.report)
            m_lostRows[key] = storeRow(key, row.text).value;
    }
    // This daemon's own reports of the last seconds were not read back from the store yet.
    for (auto const& entry : m_state.quarantine.entries(now)) {
        for (auto const& instance : entry.targetInstances) {
            auto const key = Retry::crashRowKey({ entry.fingerprint, instance });
            if (!table.contains(key) && !m_rows.contains(key))
                m_lostRows[key] = Retry::crashRowValue(m_state.storeClock.at(now));
        }
    }
}

void CrashRows::add(std::string const& key, std::string const& text, Instant now)
{
    auto const row = Retry::parseCrashRow(key, storeRow(key, text).value);
    AdoptedRow adopted { text, std::nullopt, now };
    auto const crashedAt = row && row->crashedAt ? m_state.storeClock.instantOf(*row->crashedAt) : std::nullopt;
    if (crashedAt)
        adopted.countsFrom = std::min(*crashedAt, now);
    // Nothing says when a row without a time was written if it was there before this daemon started.
    bool const isCounted = row && (crashedAt || m_hasAdopted);
    if (isCounted) {
        adopted.report = row->report;
        m_state.quarantine.noteCrash(row->report, adopted.countsFrom);
    }
    Telemetry::EventLine(isCounted ? "crash_row_adopted" : "crash_row_ignored")
        .add("key", key)
        .add("age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - adopted.countsFrom).count())
        .add("has_time", crashedAt.has_value())
        .add("refused", row && m_state.quarantine.isRefused(row->report.fingerprint, now))
        .logInfo();
    m_rows.insert_or_assign(key, std::move(adopted));
}

std::vector<std::string> CrashRows::expiredKeys(Instant now) const
{
    auto const retention = m_state.quarantine.limits().retention;
    std::vector<std::string> keys;
    for (auto const& [key, row] : m_rows) {
        if (now - row.countsFrom >= retention)
            keys.push_back(key);
    }
    return keys;
}

}
