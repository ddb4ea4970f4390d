#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Traffic {

/// One change of a shared row.
struct SharedRow {
    std::string table;
    std::string key;
    std::optional<std::string> text; ///< Nothing: the row was removed.

    bool operator==(SharedRow const&) const = default;
};

/// What one daemon tells another about its rows.
struct SharedChanges {
    uint64_t version { 0 };                                 ///< Of the sender's rows after these changes.
    bool isComplete { false };                              ///< All rows, not only those that changed.
    std::map<std::string, uint64_t, std::less<>> revisions; ///< Of the store when it was read, by table.
    std::vector<SharedRow> rows;

    bool operator==(SharedChanges const&) const = default;
};

/// The rows of the platform's store that all daemons follow, with numbered changes, so that a daemon that read the
/// store can pass on to another what changed since the last time.
class SharedRows {
public:
    using Table = std::map<std::string, std::string, std::less<>>;

    /// Takes over a table as read from the store. True when a row changed. An older reading changes nothing.
    bool replaceTable(std::string_view table, Table const& rows, uint64_t revision);

    /// Takes over what another daemon told. Changes of an older reading than the own one are refused: rows must not go
    /// back when a daemon turns to another source. False when refused.
    bool apply(SharedChanges const&);

    /// All rows when the version is 0 or too old.
    SharedChanges changesAfter(uint64_t version) const;

    Table const& table(std::string_view name) const;
    uint64_t version() const { return m_version; }
    uint64_t revisionOf(std::string_view table) const;

private:
    struct Entry {
        std::optional<std::string> text;
        uint64_t changedAt { 0 };
    };

    bool set(std::string_view table, std::string const& key, std::optional<std::string> text);
    void dropOldRemovals();

    std::map<std::string, Table, std::less<>> m_tables;
    std::map<std::pair<std::string, std::string>, Entry> m_changes; ///< Last change of each row, by table and key.
    std::map<std::string, uint64_t, std::less<>> m_revisions;
    uint64_t m_version { 0 };
    uint64_t m_forgottenUntil { 0 }; ///< Removals up to this version may be missing.
};

}
