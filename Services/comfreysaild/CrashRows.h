#pragma once

#include "EntryState.h"

namespace Comfreysail::Daemon {

/// Applies the shared rows with crash reports to the quarantine. Each row counts from the time of its crash until it is
/// removed or has expired, so a daemon that starts knows the same as one that has been running.
class CrashRows {
public:
    explicit CrashRows(EntryState&);

    /// Applies what has changed in the table since the last call.
    void adopt(Core::Instant now);

    /// The keys of the rows that no longer count, because their retention has passed.
    std::vector<std::string> expiredKeys(Core::Instant now) const;

private:
    struct AdoptedRow {
        std::string text; ///< Of the shared row.
        std::optional<Retry::CrashReport> report;
        Core::Instant countsFrom {};
    };

    void add(std::string const& key, std::string const& text, Core::Instant now);

    EntryState& m_state;
    uint64_t m_tableVersion { 0 };
    bool m_hasAdopted { false }; ///< Rows that appear after the first call report crashes of this moment.
    std::map<std::string, AdoptedRow, std::less<>> m_rows;
};

}
