#include <LibTraffic/SharedRows.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <set>

namespace Comfreysail::Traffic {

namespace {

// Number of removed rows that are kept to be sent to other daemons. Beyond it the older half is dropped, and a daemon
// that lags behind them gets all rows instead.
constexpr size_t maxRemovals = 500;

// The first line that digests have in its place, which older builds send.
constexpr std::string_view unknownReport = "0\n";

}

// Row digests are combined by exclusive or, so that a single row can be removed from the digest of a table.
uint64_t SharedRows::digestOf(std::string_view table, std::string_view key, std::string_view text) const
{
    auto const lineEnd = text.find('\n');
    if (!m_tablesOfReports.contains(table) || lineEnd == std::string_view::npos)
        return Core::combineHashes(Core::hashBytes(key), Core::hashBytes(text));
    auto const content = std::string(unknownReport) + std::string(text.substr(lineEnd + 1));
    return Core::combineHashes(Core::hashBytes(key), Core::hashBytes(content));
}

bool SharedRows::set(std::string_view table, std::string const& key, std::optional<std::string> text, uint64_t revision)
{
    auto& rows = m_tables[std::string(table)];
    auto const found = rows.find(key);
    bool const isSame = text ? found != rows.end() && found->second == *text : found == rows.end();
    if (isSame)
        return false;
    auto& digest = m_digests[std::string(table)];
    if (found != rows.end())
        digest ^= digestOf(table, key, found->second);
    if (text)
        digest ^= digestOf(table, key, *text);
    ++m_version;
    auto& change = m_changes[{ std::string(table), key }];
    bool const wasRemoval = change.version > 0 && !change.text;
    if (wasRemoval)
        --m_removals;
    if (!text)
        ++m_removals;
    change = { text, revision, m_version };
    auto& last = m_lastChanges[std::string(table)];
    last = { std::max(last.readRevision, revision), m_version };
    if (text)
        rows.insert_or_assign(key, std::move(*text));
    else
        rows.erase(found);
    return true;
}

bool SharedRows::replaceTable(std::string_view table, Table const& rows, uint64_t revision, bool isSnapshot)
{
    auto& known = m_revisions[std::string(table)];
    if (revision < known)
        return false;
    known = revision;
    m_incomplete.erase(std::string(table));
    if (isSnapshot)
        m_snapshotTables.emplace(table);
    else
        m_snapshotTables.erase(std::string(table));
    std::vector<std::string> removed;
    for (auto const& [key, text] : this->table(table)) {
        if (!rows.contains(key))
            removed.push_back(key);
    }
    bool hasChanged = false;
    for (auto const& key : removed)
        hasChanged = set(table, key, std::nullopt, revision) || hasChanged;
    for (auto const& [key, text] : rows)
        hasChanged = set(table, key, text, revision) || hasChanged;
    dropOldRemovals();
    return hasChanged;
}

bool SharedRows::isOlder(SharedChanges const& changes, std::string_view table) const
{
    auto const sent = changes.revisions.find(table);
    return (sent == changes.revisions.end() ? 0 : sent->second) < revisionOf(table);
}

ApplyResult SharedRows::apply(SharedChanges const& changes)
{
    // Each table is as of its own read, so an older table of the sender does not make its other tables useless.
    std::map<std::string_view, uint64_t> usable;
    for (auto const& [table, revision] : changes.revisions) {
        if (!isOlder(changes, table))
            usable.emplace(table, revision);
    }
    if (usable.empty() && !m_revisions.empty())
        return ApplyResult::Stale;
    std::set<std::pair<std::string_view, std::string_view>> sent;
    for (auto const& row : changes.rows)
        sent.emplace(row.table, row.key);
    for (auto const& [table, revision] : usable) {
        if (!changes.completeTables.contains(table))
            continue;
        std::vector<std::string> removed;
        for (auto const& [key, text] : this->table(table)) {
            if (!sent.contains({ table, key }))
                removed.push_back(key);
        }
        for (auto const& key : removed)
            set(table, key, std::nullopt, revision);
    }
    for (auto const& row : changes.rows) {
        if (auto const found = usable.find(row.table); found != usable.end())
            set(row.table, row.key, row.text, found->second);
    }
    bool isComplete = true;
    for (auto const& [name, revision] : usable) {
        std::string const table(name);
        m_revisions[table] = revision;
        m_incomplete.erase(table);
        m_snapshotTables.erase(table);
        auto const digest = changes.digests.find(table);
        if (digest == changes.digests.end())
            continue;
        m_snapshotTables.insert(table);
        if (m_digests[table] != digest->second) {
            m_incomplete.insert(table);
            isComplete = false;
        }
    }
    dropOldRemovals();
    return isComplete ? ApplyResult::Applied : ApplyResult::Incomplete;
}

TableRevisions SharedRows::knownRevisions() const
{
    auto revisions = m_revisions;
    for (auto const& table : m_incomplete)
        revisions.erase(table);
    return revisions;
}

SharedChanges SharedRows::changesAfter(TableRevisions const& known) const
{
    SharedChanges changes;
    changes.revisions = m_revisions;
    for (auto const& table : m_snapshotTables) {
        auto const digest = m_digests.find(table);
        changes.digests[table] = digest == m_digests.end() ? 0 : digest->second;
    }
    auto const knownRevision = [&](std::string_view table) {
        auto const found = known.find(table);
        return found == known.end() ? 0 : found->second;
    };
    for (auto const& [table, revision] : m_revisions) {
        auto const before = knownRevision(table);
        auto const dropped = m_removalsDroppedUpTo.find(table);
        if (before == 0 || (dropped != m_removalsDroppedUpTo.end() && before < dropped->second))
            changes.completeTables.insert(table);
    }
    for (auto const& [table, last] : m_lastChanges) {
        bool const isComplete = changes.completeTables.contains(table);
        auto const before = knownRevision(table);
        if (!isComplete && last.readRevision <= before)
            continue;
        for (auto change = m_changes.lower_bound({ table, {} });
             change != m_changes.end() && change->first.first == table; ++change) {
            auto const& [tableAndKey, entry] = *change;
            if (isComplete ? entry.text.has_value() : entry.readRevision > before)
                changes.rows.push_back({ table, tableAndKey.second, entry.text });
        }
    }
    return changes;
}

void SharedRows::dropOldRemovals()
{
    if (m_removals <= maxRemovals)
        return;
    std::vector<uint64_t> removals;
    for (auto const& [tableAndKey, entry] : m_changes) {
        if (!entry.text)
            removals.push_back(entry.readRevision);
    }
    auto const middle = removals.begin() + static_cast<ptrdiff_t>(removals.size() / 2);
    std::ranges::nth_element(removals, middle);
    m_removals -= std::erase_if(m_changes, [this, newestDropped = *middle](auto const& item) {
        auto const& [tableAndKey, entry] = item;
        bool const isDropped = !entry.text && entry.readRevision <= newestDropped;
        if (isDropped) {
            auto& droppedUpTo = m_removalsDroppedUpTo[tableAndKey.first];
            droppedUpTo = std::max(droppedUpTo, entry.readRevision);
        }
        return isDropped;
    });
    m_versionOfDrop = m_version;
}

uint64_t SharedRows::versionOf(std::string_view table) const
{
    auto const found = m_lastChanges.find(table);
    return found == m_lastChanges.end() ? 0 : found->second.version;
}

std::optional<std::vector<SharedRow>> SharedRows::changesSince(std::string_view table, uint64_t version) const
{
    if (version < m_versionOfDrop)
        return std::nullopt;
    std::vector<SharedRow> rows;
    if (versionOf(table) <= version)
        return rows;
    std::string const name(table);
    for (auto change = m_changes.lower_bound({ name, {} }); change != m_changes.end() && change->first.first == name;
         ++change) {
        if (change->second.version > version)
            rows.push_back({ name, change->first.second, change->second.text });
    }
    return rows;
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
