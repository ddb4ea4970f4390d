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

/// All that a daemon knows about versions under a running move: its own counts and those of the others. Merging takes
/// the larger of each count of each origin, so it is idempotent and independent of order. Not thread-safe.
class Evidence {
public:
    Evidence(std::string origin, uint64_t incarnation);

    /// Keeps counts for the judged moves among these that are not final, and drops all others: services without a move
    /// cost nothing.
    void watch(std::vector<Move> const&);
    bool isWatched(std::string_view service) const { return m_watched.contains(service); }

    void record(Observation const&, Core::WallTime now);
    /// Entries that were new here are handed on by the next takeDelta().
    void merge(EvidenceDelta const&, Core::WallTime now);
    /// What changed since the last call, at most `maxEntries`; the rest stays for the next. Entries with failures come
    /// first, then those of versions that a move goes to.
    EvidenceDelta takeDelta(size_t maxEntries, Core::WallTime now);
    /// Marks everything as changed, for a daemon that joined later or after lost messages.
    void markAllChanged();

    /// Latches a verdict; returns whether it is news.
    bool noteBad(std::string const& moveId, std::string const& reason);
    std::optional<std::string> badReason(std::string_view moveId) const;

    /// Counts of a service and version, summed over origins, since the start of a move.
    CountersByKey sinceStart(std::string_view service, std::string_view version, Core::WallTime start) const;
    /// The same for the last seconds.
    CountersByKey recent(std::string_view service, std::string_view version, Core::WallTime now) const;

    size_t entryCount() const { return m_counters.size(); }

private:
    struct Address {
        std::string service;
        std::string version;
        int64_t slot { 0 };
        EvidenceKey key;
        std::string origin;
        uint64_t originIncarnation { 0 };

        auto tied() const { return std::tie(service, version, slot, key, origin, originIncarnation); }
        bool operator==(Address const& other) const { return tied() == other.tied(); }
        bool operator<(Address const& other) const { return tied() < other.tied(); }
    };

    void count(EvidenceKey const&, int64_t slot, Counters const&);
    bool isJudgedVersion(EvidenceKey const&) const;
    bool isSlotKept(std::string_view service, int64_t slot, Core::WallTime now) const;
    void dropOld(Core::WallTime now);
    void addSlots(
        CountersByKey&, std::string_view service, std::string_view version, int64_t first, int64_t last) const;

    std::string m_origin;
    uint64_t m_incarnation;
    /// What the moves of one service need.
    struct Watched {
        std::set<int64_t> startSlots;
        std::set<std::string, std::less<>> judgedVersions;
    };

    std::map<std::string, Watched, std::less<>> m_watched; ///< By service.
    std::map<Address, Counters> m_counters;
    std::set<Address> m_changed;
    std::map<std::string, std::string, std::less<>> m_badMoves;
};

}
