#include <LibMoves/Evidence.h>
#include <algorithm>
#include <cmath>

namespace Comfreysail::Moves {

using Core::WallTime;

namespace {

constexpr int64_t millisecondsPerSlot = 1000;
// Covers the recent window, the time until all daemons received a count, and clock differences of one or two seconds.
constexpr int64_t slotsKept = 10;
// Length of the recent window. A short window detects a fault soon after its start.
constexpr int64_t slotsJudged = 4;
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
    auto const isUnwatched = [&](Address const& address) {
        auto const watched = m_watched.find(address.service);
        return watched == m_watched.end() || (address.slot <= 0 && !watched->second.startSlots.contains(address.slot));
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
    count(key, slotOf(now), counters);
    for (auto const start : watched->second.startSlots) {
        if (-start <= Core::toUnixMilliseconds(now))
            count(key, start, counters);
    }
}

void Evidence::merge(EvidenceDelta const& delta, WallTime now)
{
    for (auto const& entry : delta.entries) {
        auto const isOwn = entry.origin == m_origin && entry.originIncarnation == m_incarnation;
        if (isOwn || !isSlotKept(entry.key.service, entry.slot, now))
            continue;
        Address address { entry.key.service, entry.key.version, entry.slot, entry.key, entry.origin,
            entry.originIncarnation };
        auto position = m_counters.find(address);
        if (position == m_counters.end()) {
            if (m_counters.size() >= maximumEntries)
                continue;
            position = m_counters.try_emplace(address).first;
        }
        if (position->second.raiseTo(entry.counters))
            m_changed.insert(std::move(address));
    }
}

EvidenceDelta Evidence::takeDelta(size_t maxEntries, WallTime now)
{
    dropOld(now);
    EvidenceDelta delta;
    auto const rankOf = [&](Address const& address, Counters const& counters) {
        if (counters.failures + counters.lost > 0)
            return 0;
        return isJudgedVersion(address.key) ? 1 : 2;
    };
    for (int rank = 0; rank <= 2; ++rank) {
        for (auto address = m_changed.begin(); address != m_changed.end() && delta.entries.size() < maxEntries;) {
            auto const counters = m_counters.find(*address);
            if (counters == m_counters.end()) {
                address = m_changed.erase(address);
                continue;
            }
            if (rankOf(*address, counters->second) != rank) {
                ++address;
                continue;
            }
            delta.entries.push_back(
                { address->origin, address->originIncarnation, address->key, address->slot, counters->second });
            address = m_changed.erase(address);
        }
    }
    return delta;
}

void Evidence::markAllChanged()
{
    for (auto const& [address, counters] : m_counters)
        m_changed.insert(address);
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
    addSlots(totals, service, version, slotOf(now) - slotsJudged + 1, slotOf(now) + slotsKept);
    return totals;
}

void Evidence::count(EvidenceKey const& key, int64_t slot, Counters const& counters)
{
    Address address { key.service, key.version, slot, key, m_origin, m_incarnation };
    auto position = m_counters.find(address);
    if (position == m_counters.end()) {
        if (m_counters.size() >= maximumEntries)
            return;
        position = m_counters.try_emplace(address).first;
    }
    position->second += counters;
    m_changed.insert(std::move(address));
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
    return std::abs(slotOf(now) - slot) <= slotsKept;
}

void Evidence::dropOld(WallTime now)
{
    auto const isOld
        = [&](Address const& address) { return address.slot > 0 && address.slot < slotOf(now) - slotsKept; };
    std::erase_if(m_counters, [&](auto const& item) { return isOld(item.first); });
    std::erase_if(m_changed, isOld);
}

void Evidence::addSlots(
    CountersByKey& totals, std::string_view service, std::string_view version, int64_t first, int64_t last) const
{
    Address lower;
    lower.service = service;
    lower.version = version;
    lower.slot = first;
    for (auto position = m_counters.lower_bound(lower); position != m_counters.end(); ++position) {
        auto const& address = position->first;
        if (address.service != service || address.version != version || address.slot > last)
            return;
        totals[address.key] += position->second;
    }
}

}
