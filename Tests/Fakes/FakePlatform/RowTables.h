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

/// The rows and objects of the platform's store in memory, with the history of changes that its feed reads.
class RowTables {
public:
    /// Nothing when a condition does not hold; the present rows of the conditions are then in `conflicts`.
    std::optional<uint64_t> transact(Platform::RowTransaction const&, std::vector<Platform::StoreRow>& conflicts);

    std::vector<Platform::StoreRow> rows(Platform::RowRange const&, bool& hasMore) const;

    struct Change {
        Platform::StoreRow row;
        bool isTombstone { false };
    };
    /// The last change of each row of the table after the revision, in order. Nothing when the history does not reach
    /// back so far.
    std::optional<std::vector<Change>> changesAfter(std::string const& table, uint64_t revision) const;
    void dropHistory();

    uint64_t revision() const { return m_revision; }

    std::map<std::string, std::string> objects;

private:
    using Place = std::tuple<std::string, std::string, std::string>; ///< Table, part and key.

    std::map<Place, Platform::StoreRow> m_rows;
    std::deque<Change> m_history;
    uint64_t m_historyBegin { 0 }; ///< Changes after this revision are in the history.
    uint64_t m_revision { 0 };
};

}
