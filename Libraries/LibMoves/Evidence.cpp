#include <LibMoves/Evidence.h>
#include <algorithm>
#include <cmath>

namespace Comfreysail::Moves {

using Core::WallTime;

namespace {

constexpr int64_t millisecondsPerSlot = 1000;
// Covers the recent window, the time until all daemons received a count, and clock differences of one or two seconds.
constexpr int64_t retainedSlots = 10;
// Length of the recent window. A short window detects a fault soon after its start.
constexpr int64_t recentWindowSlots = 4;
// About 8 MB of the 32 MB that a daemon may use for all control data.
constexpr size_t maximumEntries = 20'000;
constexpr double logLatencyScale = 16;

int64_t slotOf(WallTime time) { return Core::toUnixMilliseconds(time) / millisecondsPerSlot; }
int64_t startSlotOf(WallTime start) { return -Core::toUnixMilliseconds(start); }

Counters countersOf(Observation const& observation)
{
    Counters counters;
    if (observation.outcome == Outcome::Success)
        counters.successes = 1;
    else if (observation.outcome == Outcome::Failure)
        counters.failures = 1;
    else
        counters.lost = 1;
    if (observation.outcome != Outcome::Success)
        return counters;
    counters.loadedSuccesses = observation.isLoaded ? 1 : 0;
    if (!observation.isCold) {
        auto const microseconds = static_cast<double>(std::max<int64_t>(observation.latency.count(), 1));
        auto const scaled = static_cast<uint64_t>(std::lround(std::log2(microseconds) * logLatencyScale));
        counters.timed = 1;
        counters.logLatencySum = scaled;
        counters.logLatencySquareSum = scaled * scaled;
    }
    return counters;
}

}

Evidence::Evidence(std::string origin, uint64_t incarnation)
    : m_origin(std::move(origin))
    , m_incarnation(incarnation)
{
}

void Evidence::watch(std::vector<Move> const& moves)
{
    m_watched.clear();
    for (auto const& move : moves) {
        if (!move.isJudged() || move.isFinal())
            continue;
        auto& watched = m_watched[move.service];
        watched.startSlots.insert(startSlotOf(move.start));
        watched.judgedVersions.insert(move.to);
    }
    auto const isUnwatched = [&](EntryId const& entryId) {
        auto const watched = m_watched.find(entryId.service);
        return watched == m_watched.end() || (entryId.slot <= 0 && !watched->second.startSlots.contains(entryId.slot));
    };
    std::erase_if(m_counters, [&](auto const& item) { return isUnwatched(item.first); });
    std::erase_if(m_changed, isUnwatched);
}

void Evidence::record(Observation const& observation, WallTime now)
{
    auto const watched = m_watched.find(observation.service);
    if (watched == m_watched.end() || observation.outcome == Outcome::Ignored)
        return;
    // Only the judged version has an entry for each target, since only its verdict depends on single targets. With one
    // for each target of the old version too, its entries delay those of the new one by several seconds.
    EvidenceKey key { observation.service, observation.version, observation.route, observation.availabilityZone, 0 };
    if (watched->second.judgedVersions.contains(observation.version))
        key.target = targetHash(observation.target);
    auto const counters = countersOf(observation);
    addCounters(key, slotOf(now), counters);
    for (auto const start : watched->second.startSlots) {
        if (-start <= Core::toUnixMilliseconds(now))
            addCounters(key, start, counters);
    }
}

void Evidence::merge(EvidenceDelta const& delta, WallTime now)
{
    for (auto const& entry : delta.entries) {
        auto const isOwn = entry.origin == m_origin && entry.originIncarnation == m_incarnation;
        if (isOwn || !isSlotKept(entry.key.service, entry.slot, now))
            continue;
        EntryId entryId { entry.key.service, entry.key.version, entry.slot, entry.key, entry.origin,
            entry.originIncarnation };
        auto position = m_counters.find(entryId);
        if (position == m_counters.end()) {
            if (m_counters.size() >= maximumEntries)
                continue;
            position = m_counters.try_emplace(entryId).first;
        }
        if (position->second.mergeMaximum(entry.counters))
            m_changed.insert(std::move(entryId));
    }
}

EvidenceDelta Evidence::takeDelta(size_t maxEntries, WallTime now)
{
    removeExpired(now);
    EvidenceDelta delta;
    auto const priorityOf = [&](EntryId const& entryId, Counters const& counters) {
        if (counters.failures + counters.lost > 0)
            return 0;
        return isJudgedVersion(entryId.key) ? 1 : 2;
    };
    for (int priority = 0; priority <= 2; ++priority) {
        for (auto entryId = m_changed.begin(); entryId != m_changed.end() && delta.entries.size() < maxEntries;) {
            auto const counters = m_counters.find(*entryId);
            if (counters == m_counters.end()) {
                entryId = m_changed.erase(entryId);
                continue;
            }
            if (priorityOf(*entryId, counters->second) != priority) {
                ++entryId;
                continue;
            }
            delta.entries.push_back(
                { entryId->origin, entryId->originIncarnation, entryId->key, entryId->slot, counters->second });
            entryId = m_changed.erase(entryId);
        }
    }
    return delta;
}

void Evidence::markAllChanged()
{
    for (auto const& [entryId, counters] : m_counters)
        m_changed.insert(entryId);
}

bool Evidence::noteBad(std::string const& moveId, std::string const& reason)
{
    return m_badMoves.try_emplace(moveId, reason).second;
}

std::optional<std::string> Evidence::badReason(std::string_view moveId) const
{
    auto const reason = m_badMoves.find(moveId);
    return reason == m_badMoves.end() ? std::nullopt : std::optional(reason->second);
}

CountersByKey Evidence::sinceStart(std::string_view service, std::string_view version, WallTime start) const
{
    CountersByKey totals;
    addSlots(totals, service, version, startSlotOf(start), startSlotOf(start));
    return totals;
}

CountersByKey Evidence::recent(std::string_view service, std::string_view version, WallTime now) const
{
    CountersByKey totals;
    // Includes future slots, since daemons whose clocks run ahead count in them.
    addSlots(totals, service, version, slotOf(now) - recentWindowSlots + 1, slotOf(now) + retainedSlots);
    return totals;
}

void Evidence::addCounters(EvidenceKey const& key, int64_t slot, Counters const& counters)
{
    EntryId entryId { key.service, key.version, slot, key, m_origin, m_incarnation };
    auto position = m_counters.find(entryId);
    if (position == m_counters.end()) {
        if (m_counters.size() >= maximumEntries)
            return;
        position = m_counters.try_emplace(entryId).first;
    }
    position->second += counters;
    m_changed.insert(std::move(entryId));
}

bool Evidence::isJudgedVersion(EvidenceKey const& key) const
{
    auto const watched = m_watched.find(key.service);
    return watched != m_watched.end() && watched->second.judgedVersions.contains(key.version);
}

bool Evidence::isSlotKept(std::string_view service, int64_t slot, WallTime now) const
{
    auto const watched = m_watched.find(service);
    if (watched == m_watched.end())
        return false;
    if (slot <= 0)
        return watched->second.startSlots.contains(slot);
    return std::abs(slotOf(now) - slot) <= retainedSlots;
}

void Evidence::removeExpired(WallTime now)
{
    auto const isExpired
        = [&](EntryId const& entryId) { return entryId.slot > 0 && entryId.slot < slotOf(now) - retainedSlots; };
    std::erase_if(m_counters, [&](auto const& item) { return isExpired(item.first); });
    std::erase_if(m_changed, isExpired);
}

void Evidence::addSlots(
    CountersByKey& totals, std::string_view service, std::string_view version, int64_t first, int64_t last) const
{
    EntryId firstId;
    firstId.service = service;
    firstId.version = version;
    firstId.slot = first;
    for (auto position = m_counters.lower_bound(firstId); position != m_counters.end(); ++position) {
        auto const& entryId = position->first;
        if (entryId.service != service || entryId.version != version || entryId.slot > last)
            return;
        totals[entryId.key] += position->second;
    }
}

}
