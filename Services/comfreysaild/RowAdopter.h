#pragma once

#include "CrashRows.h"
#include "EntryState.h"
#include <platform/Platform.h>

namespace Comfreysail::Daemon {

/// The text of a shared row: the revision of the store row, a line feed, and the row's value.
std::string sharedText(Platform::StoreRow const&);
Platform::StoreRow storeRow(std::string const& key, std::string const& sharedText);

/// Applies the shared rows to the entry state. Invalid rows are logged once and ignored.
class RowAdopter {
public:
    explicit RowAdopter(EntryState&);

    /// Converts store rows to a table of shared rows. Target rows are normalized: they change only with their content,
    /// so that heartbeats are not distributed to all daemons, and invalid rows become empty.
    /// A target's row that is older than one read before does not count, see Traffic::decideOnReport().
    Traffic::SharedRows::Table sharedTable(
        std::string_view table, std::vector<Platform::StoreRow> const&, Core::Instant now);

    /// Applies the operators' rows, the results of moves, the verdicts and the crashes.
    void adoptDecisions();
    /// The keys of the crash rows that have expired.
    std::vector<std::string> expiredCrashKeys(Core::Instant now) const { return m_crashRows.expiredKeys(now); }
    /// The crash rows that the store has lost by a return from an older copy, once each.
    std::map<std::string, std::string> takeLostCrashRows() { return m_crashRows.takeLostRows(); }
    /// Applies to the directory what has changed in the targets since the last call. `now`: the current time.
    void adoptTargets(Core::Instant now);

private:
    void adoptPlan(Platform::StoreRow const&);
    void adoptMoves(std::vector<Traffic::VersionMove> const&);
    /// Returns the move that this order belongs to, if the store lost the order and it was written again.
    std::optional<MoveInProgress> restoredMove(Traffic::VersionMove const& order);
    /// Adds how a move ended to the history of its service, before another order replaces it.
    void noteMoveEnd(MoveInProgress const&);
    /// Takes the history of a service from the start of an earlier order, if this daemon knows none.
    void noteEarlierStart(std::string const& service, Traffic::MoveStart const&);
    /// Applies when the moves have started, as far as the store says it.
    void adoptMoveStarts(Core::Instant now);
    void adoptResults();
    bool isFirstRefusal(std::string const& key, uint64_t revision);
    Traffic::SharedRows::Table sharedTargets(std::vector<Platform::StoreRow> const&, Core::Instant now);
    /// Returns false if a newer entry of the target was read before.
    bool isNewestReport(Traffic::RegisteredTarget const&, Core::Instant now);

    EntryState& m_state;
    CrashRows m_crashRows;
    std::optional<uint64_t> m_adoptedTargetsVersion; ///< Version of the shared rows whose targets are applied.
    std::map<std::string, Traffic::KnownReport, std::less<>> m_reports; ///< By id of the target.
    std::map<std::string, uint64_t, std::less<>>
        m_loggedInvalidRows; ///< Revisions of invalid rows that were logged, by key.
};

}
