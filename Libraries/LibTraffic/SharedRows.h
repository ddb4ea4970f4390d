#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Traffic {

/// Revision of the store at which each table was read, by table.
using TableRevisions = std::map<std::string, uint64_t, std::less<>>;

/// One change of a shared row.
struct SharedRow {
    std::string table;
    std::string key;
    std::optional<std::string> text; ///< Nullopt if the row was removed.

    bool operator==(SharedRow const&) const = default;
};

/// Rows that one daemon sends to another.
struct SharedChanges {
    TableRevisions revisions; ///< Revisions of the sender's tables.
    /// Digests of all rows of a table, by table. Only for tables that were read at a single revision.
    std::map<std::string, uint64_t, std::less<>> digests;
    std::set<std::string, std::less<>> completeTables; ///< Tables sent with all rows, not only with the changed ones.
    std::vector<SharedRow> rows;

    bool operator==(SharedChanges const&) const = default;
};

/// Result of applying the rows of another daemon.
enum class ApplyResult : uint8_t {
    Applied,
    Stale,      ///< All tables are older than the own ones; nothing was changed.
    Incomplete, ///< The digests differ from the sender's; the next request must ask for all rows.
};

/// A replica of the rows of the platform's store that all daemons follow. Each change is kept with the revision of the
/// read that revealed it. Revisions come from the store, so a daemon can get the changes since its own reads from any
/// other daemon and does not need all rows again when it switches its source. A row that existed only between two reads
/// of the new source is missing from that source's changes, so digests detect whether both have the same rows.
class SharedRows {
public:
    using Table = std::map<std::string, std::string, std::less<>>;
    using TableNames = std::set<std::string, std::less<>>;

    /// The first line of a row in one of `tablesOfReports` tells which report of its writer it comes from. Daemons that
    /// read the store at different times may have different ones with the same content, so it is not part of digests.
    explicit SharedRows(TableNames tablesOfReports = {})
        : m_tablesOfReports(std::move(tablesOfReports))
    {
    }

    /// Replaces a table by the rows that were read from the store. Returns true if a row changed. A read that is older
    /// than the last one changes nothing.
    ///
    /// A table that was read in several pages is not a snapshot of one revision. `revision` is then that of the first
    /// page, and two daemons may have different rows at the same revision, so no digest is sent for the table.
    bool replaceTable(std::string_view table, Table const& rows, uint64_t revision, bool isSnapshot = true);

    /// Applies the changes of another daemon. Tables from an older read than the own one are left out, so that rows do
    /// not revert when a daemon switches its source.
    ApplyResult apply(SharedChanges const&);

    /// Returns true if the sender read the table before this daemon did, or not at all.
    bool isOlder(SharedChanges const&, std::string_view table) const;

    /// Returns the changes that a daemon with these revisions does not have yet.
    SharedChanges changesAfter(TableRevisions const&) const;

    Table const& table(std::string_view name) const;
    /// Returns the revisions to send to a source when asking for changes, without the tables whose rows are incomplete.
    TableRevisions knownRevisions() const;
    uint64_t revisionOf(std::string_view table) const;
    /// Increases with each change of a row.
    uint64_t version() const { return m_version; }
    /// The version() of the last change of a row of this table; 0 if it never had a row.
    uint64_t versionOf(std::string_view table) const;
    /// Returns the rows of a table that changed after version() had this value, or std::nullopt if removals since then
    /// are no longer known.
    std::optional<std::vector<SharedRow>> changesSince(std::string_view table, uint64_t version) const;

private:
    struct Entry {
        std::optional<std::string> text;
        uint64_t readRevision { 0 }; ///< Revision of the read that revealed the change.
        uint64_t version { 0 };      ///< Own version() after the change.
    };
    struct LastChange {
        uint64_t readRevision { 0 };
        uint64_t version { 0 };
    };

    uint64_t digestOf(std::string_view table, std::string_view key, std::string_view text) const;
    bool set(std::string_view table, std::string const& key, std::optional<std::string> text, uint64_t revision);
    void dropOldRemovals();

    TableNames m_tablesOfReports;
    std::map<std::string, Table, std::less<>> m_tables;
    std::map<std::pair<std::string, std::string>, Entry> m_changes; ///< Last change of each row, by table and key.
    TableRevisions m_revisions;
    std::map<std::string, uint64_t, std::less<>> m_digests; ///< By table.
    std::set<std::string, std::less<>> m_snapshotTables;    ///< Tables read at a single revision.
    std::set<std::string, std::less<>> m_incomplete; ///< Tables whose digest differs from that of their last source.
    std::map<std::string, LastChange, std::less<>> m_lastChanges; ///< By table.
    uint64_t m_version { 0 };
    size_t m_removals { 0 }; ///< Number of removals in m_changes.
    /// Removals up to this revision may have been dropped, by table. Tables are read at different times, so a revision
    /// of one table says nothing about another.
    TableRevisions m_removalsDroppedUpTo;
    uint64_t m_versionOfDrop { 0 }; ///< Version at which removals were dropped last.
};

}
