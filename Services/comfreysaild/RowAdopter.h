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
    /// so that heartbeats are not distributed to all daemons, and invalid rows become empty. Their first line is the
    /// number of the report with which the content changed, plus one, or 0 if it states none.
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
    /// Returns true if no newer report of the target was read before, here or by the daemons whose rows were adopted.
    bool isNewestStored(Traffic::RegisteredTarget const&, Core::Instant now);
    /// Adds what the row of a target changes to one of the lists; std::nullopt is a row that was removed. A row that is
    /// older than the adopted one changes nothing.
    void adoptTargetRow(std::string const& key, std::optional<std::string> const& text,
        std::vector<Traffic::RegisteredTarget>& changed, std::vector<std::string>& removed, Core::Instant now);
    void noteOutdated(
        std::string const& id, Traffic::ReportPosition const&, Traffic::ReportDecision const&, std::string_view source);

    EntryState& m_state;
    CrashRows m_crashRows;
    std::optional<uint64_t> m_adoptedTargetsVersion;          ///< Version of the shared rows whose targets are applied.
    Traffic::ReportMemory m_storedReports;                    ///< As far as this daemon read the store.
    Traffic::ReportMemory m_adoptedReports;                   ///< Of the targets in the directory.
    std::set<std::string, std::less<>> m_targetsWithOlderRow; ///< Their shared rows are older than what is adopted.
    std::map<std::string, uint64_t, std::less<>>
        m_loggedInvalidRows; ///< Revisions of invalid rows that were logged, by key.
};

}
