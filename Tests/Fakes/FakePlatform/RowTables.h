#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <platform/Platform.h>
#include <string>
#include <tuple>
#include <vector>

namespace Comfreysail::Fakes {

/// In-memory rows and objects of the platform's store, with the change history that its feed calls read.
class RowTables {
public:
    /// Applies the transaction and returns its revision. If a condition does not hold, returns std::nullopt, changes
    /// nothing and puts the current rows of all conditions into `conflicts`.
    std::optional<uint64_t> transact(Platform::RowTransaction const&, std::vector<Platform::StoreRow>& conflicts);

    std::vector<Platform::StoreRow> rows(Platform::RowRange const&, bool& hasMore) const;

    struct Change {
        Platform::StoreRow row;
        bool isTombstone { false };
    };
    /// Returns the latest change of each row of the table after the revision, in order, or std::nullopt if the history
    /// no longer goes back to that revision.
    std::optional<std::vector<Change>> changesAfter(std::string const& table, uint64_t revision) const;
    void dropHistory();

    uint64_t revision() const { return m_revision; }

    std::map<std::string, std::string> objects;

private:
    using RowKey = std::tuple<std::string, std::string, std::string>; ///< Table, part and key.

    std::map<RowKey, Platform::StoreRow> m_rows;
    std::deque<Change> m_history;
    uint64_t m_historyBegin { 0 }; ///< The history has all changes after this revision.
    uint64_t m_revision { 0 };
};

}
