#pragma once

#include <LibCore/Time.h>
#include <LibMoves/EvidenceDelta.h>
#include <LibMoves/Move.h>
#include <LibMoves/Observation.h>
#include <LibMoves/Verdict.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Comfreysail::Moves {

using CountersByKey = std::map<EvidenceKey, Counters>;

/// Call results of the versions in running moves, counted by this daemon or received from others. Merging takes the
/// maximum of each count for each origin, so it is idempotent and does not depend on the order. Not thread-safe.
class Evidence {
public:
    Evidence(std::string origin, uint64_t incarnation);

    /// Sets the moves to keep counts for: those that are judged and not final. Drops all other counts, so services
    /// without a running move use no memory or bandwidth.
    void watch(std::vector<Move> const&);
    bool isWatched(std::string_view service) const { return m_watched.contains(service); }

    void record(Observation const&, Core::WallTime now);
    /// Merges counts of other daemons. The next takeDelta() forwards the entries that changed.
    void merge(EvidenceDelta const&, Core::WallTime now);
    /// Returns up to `maxEntries` entries that changed since they were last returned; the next calls return the rest.
    /// Entries with failures come first, then those of versions that a move goes to.
    EvidenceDelta takeDelta(size_t maxEntries, Core::WallTime now);
    /// Marks all entries as changed, so that new daemons and daemons that missed messages receive them.
    void markAllChanged();

    /// Records a bad verdict permanently. Returns false if the move already had one; its first reason stays.
    bool noteBad(std::string const& moveId, std::string const& reason);
    std::optional<std::string> badReason(std::string_view moveId) const;

    /// Returns the counts of a version since the start of a move, summed over all daemons.
    CountersByKey sinceStart(std::string_view service, std::string_view version, Core::WallTime start) const;
    /// Returns the counts of a version in the last seconds, summed over all daemons.
    CountersByKey recent(std::string_view service, std::string_view version, Core::WallTime now) const;

    size_t entryCount() const { return m_counters.size(); }

private:
    struct EntryId {
        std::string service;
        std::string version;
        int64_t slot { 0 };
        EvidenceKey key;
        std::string origin;
        uint64_t originIncarnation { 0 };

        auto asTuple() const { return std::tie(service, version, slot, key, origin, originIncarnation); }
        bool operator==(EntryId const& other) const { return asTuple() == other.asTuple(); }
        bool operator<(EntryId const& other) const { return asTuple() < other.asTuple(); }
    };

    void addCounters(EvidenceKey const&, int64_t slot, Counters const&);
    bool isJudgedVersion(EvidenceKey const&) const;
    bool isSlotKept(std::string_view service, int64_t slot, Core::WallTime now) const;
    void removeExpired(Core::WallTime now);
    void addSlots(
        CountersByKey&, std::string_view service, std::string_view version, int64_t first, int64_t last) const;

    std::string m_origin;
    uint64_t m_incarnation;
    /// The running moves of one service.
    struct Watched {
        std::set<int64_t> startSlots;
        std::set<std::string, std::less<>> judgedVersions;
    };

    std::map<std::string, Watched, std::less<>> m_watched; ///< By service.
    std::map<EntryId, Counters> m_counters;
    std::set<EntryId> m_changed;
    std::map<std::string, std::string, std::less<>> m_badMoves;
};

}
