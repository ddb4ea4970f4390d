#pragma once

#include "EntryState.h"
#include <utility>

namespace Comfreysail::Daemon {

/// Applies the shared rows with crash reports to the quarantine. Each row counts from the time of its crash until it is
/// removed or has expired, so a daemon that starts knows the same as one that has been running.
class CrashRows {
public:
    explicit CrashRows(EntryState&);

    /// Applies what has changed in the table since the last call.
    void adopt(Core::Instant now);

    /// Returns the rows that the store has lost by a return from an older copy, by key, once each. They still count.
    std::map<std::string, std::string> takeLostRows() { return std::exchange(m_lostRows, {}); }

    /// The keys of the rows that no longer count, because their retention has passed.
    std::vector<std::string> expiredKeys(Core::Instant now) const;

private:
    struct AdoptedRow {
        std::string text; ///< Of the shared row.
        std::optional<Retry::CrashReport> report;
        Core::Instant countsFrom {};
        bool isLost { false }; ///< Missing in an older copy of the store, from which it was not removed.
    };

    void add(std::string const& key, std::string const& text, Core::Instant now);
    /// Notes the reports that are missing since the store came back from an older copy.
    void noteLostRows(Traffic::SharedRows::Table const&, Core::Instant now);

    EntryState& m_state;
    uint64_t m_tableVersion { 0 };
    std::optional<uint64_t> m_era; ///< Of the store, when the table was read last.
    std::map<std::string, std::string> m_lostRows;
    bool m_hasAdopted { false }; ///< Rows that appear after the first call report crashes of this moment.
    std::map<std::string, AdoptedRow, std::less<>> m_rows;
};

}
