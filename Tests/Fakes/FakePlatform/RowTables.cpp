#include "RowTables.h"

#include <algorithm>

namespace Comfreysail::Fakes {

using Platform::StoreRow;

namespace {

constexpr size_t maxPageRows = 500;

}

std::optional<uint64_t> RowTables::transact(
    Platform::RowTransaction const& transaction, std::vector<StoreRow>& conflicts)
{
    bool conditionsHold = true;
    for (auto const& condition : transaction.conditions) {
        auto const found = m_rows.find({ condition.table, condition.part, condition.key });
        auto const present = found == m_rows.end() ? 0 : found->second.revision;
        conditionsHold = conditionsHold && present == condition.revision;
        if (found != m_rows.end())
            conflicts.push_back(found->second);
    }
    if (!conditionsHold)
        return std::nullopt;
    conflicts.clear();
    ++m_revision;
    for (auto row : transaction.puts) {
        row.revision = m_revision;
        m_rows[{ row.table, row.part, row.key }] = row;
        m_history.push_back({ std::move(row), false });
    }
    for (auto row : transaction.deletes) {
        row.revision = m_revision;
        if (m_rows.erase({ row.table, row.part, row.key }) > 0)
            m_history.push_back({ std::move(row), true });
    }
    return m_revision;
}

std::vector<StoreRow> RowTables::rows(Platform::RowRange const& range, bool& hasMore) const
{
    auto const limit = range.limit > 0 ? std::min<size_t>(range.limit, maxPageRows) : maxPageRows;
    std::vector<StoreRow> result;
    hasMore = false;
    for (auto entry = m_rows.lower_bound({ range.table, range.part, range.from }); entry != m_rows.end(); ++entry) {
        auto const& [table, part, key] = entry->first;
        bool const isInside = table == range.table && part == range.part && (range.to.empty() || key < range.to);
        if (!isInside)
            break;
        if (result.size() == limit) {
            hasMore = true;
            break;
        }
        result.push_back(entry->second);
    }
    return result;
}

std::optional<std::vector<RowTables::Change>> RowTables::changesAfter(std::string const& table, uint64_t revision) const
{
    if (revision < m_historyBegin)
        return std::nullopt;
    std::vector<Change> changes;
    for (auto const& change : m_history) {
        if (change.row.revision <= revision || change.row.table != table)
            continue;
        std::erase_if(changes, [&](Change const& earlier) {
            return earlier.row.part == change.row.part && earlier.row.key == change.row.key;
        });
        changes.push_back(change);
    }
    return changes;
}

void RowTables::dropHistory()
{
    m_history.clear();
    m_historyBegin = m_revision;
}

}
