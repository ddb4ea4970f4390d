#include <LibTraffic/SharedRows.h>

#include <algorithm>
#include <set>

namespace Comfreysail::Traffic {

namespace {

// Removed rows are remembered so that they can be told; beyond this many, a daemon that lags gets all rows instead.
constexpr size_t maxRemovals = 500;

}

bool SharedRows::set(std::string_view table, std::string const& key, std::optional<std::string> text)
{
    auto& rows = m_tables[std::string(table)];
    auto const found = rows.find(key);
    bool const isSame = text ? found != rows.end() && found->second == *text : found == rows.end();
    if (isSame)
        return false;
    ++m_version;
    m_changes[{ std::string(table), key }] = { text, m_version };
    if (text)
        rows.insert_or_assign(key, std::move(*text));
    else
        rows.erase(found);
    return true;
}

bool SharedRows::replaceTable(std::string_view table, Table const& rows, uint64_t revision)
{
    auto& known = m_revisions[std::string(table)];
    if (revision < known)
        return false;
    known = revision;
    std::vector<std::string> removed;
    for (auto const& [key, text] : this->table(table)) {
        if (!rows.contains(key))
            removed.push_back(key);
    }
    bool hasChanged = false;
    for (auto const& key : removed)
        hasChanged = set(table, key, std::nullopt) || hasChanged;
    for (auto const& [key, text] : rows)
        hasChanged = set(table, key, text) || hasChanged;
    dropOldRemovals();
    return hasChanged;
}

bool SharedRows::apply(SharedChanges const& changes)
{
    bool const isOlder = std::ranges::any_of(m_revisions, [&](auto const& known) {
        auto const told = changes.revisions.find(known.first);
        return told == changes.revisions.end() ? known.second > 0 : told->second < known.second;
    });
    if (isOlder)
        return false;
    if (changes.isComplete) {
        std::set<std::pair<std::string_view, std::string_view>> told;
        for (auto const& row : changes.rows)
            told.emplace(row.table, row.key);
        std::vector<std::pair<std::string, std::string>> removed;
        for (auto const& [table, rows] : m_tables) {
            for (auto const& [key, text] : rows) {
                if (!told.contains({ table, key }))
                    removed.emplace_back(table, key);
            }
        }
        for (auto const& [table, key] : removed)
            set(table, key, std::nullopt);
    }
    for (auto const& row : changes.rows)
        set(row.table, row.key, row.text);
    for (auto const& [table, revision] : changes.revisions)
        m_revisions[table] = revision;
    dropOldRemovals();
    return true;
}

SharedChanges SharedRows::changesAfter(uint64_t version) const
{
    SharedChanges changes;
    changes.version = m_version;
    changes.isComplete = version == 0 || version < m_forgottenUntil || version > m_version;
    changes.revisions = m_revisions;
    for (auto const& [place, entry] : m_changes) {
        bool const isTold = changes.isComplete ? entry.text.has_value() : entry.changedAt > version;
        if (isTold)
            changes.rows.push_back({ place.first, place.second, entry.text });
    }
    return changes;
}

void SharedRows::dropOldRemovals()
{
    std::vector<uint64_t> removals;
    for (auto const& [place, entry] : m_changes) {
        if (!entry.text)
            removals.push_back(entry.changedAt);
    }
    if (removals.size() <= maxRemovals)
        return;
    auto const middle = removals.begin() + static_cast<ptrdiff_t>(removals.size() / 2);
    std::ranges::nth_element(removals, middle);
    m_forgottenUntil = *middle;
    std::erase_if(
        m_changes, [&](auto const& item) { return !item.second.text && item.second.changedAt <= m_forgottenUntil; });
}

SharedRows::Table const& SharedRows::table(std::string_view name) const
{
    static Table const empty;
    auto const found = m_tables.find(name);
    return found == m_tables.end() ? empty : found->second;
}

uint64_t SharedRows::revisionOf(std::string_view table) const
{
    auto const found = m_revisions.find(table);
    return found == m_revisions.end() ? 0 : found->second;
}

}
