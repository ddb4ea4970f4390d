#include <LibCore/Hash.h>
#include <LibMembership/MemberTable.h>
#include <algorithm>
#include <limits>

namespace Comfreysail::Membership {

using Core::Instant;

namespace {

// How long heartbeats repeat a change: several times the time that a change takes to reach all members.
constexpr Core::Duration changeGossipDuration = std::chrono::seconds(5);
// A full view is sent to a member whose view still differs after recent changes had time to arrive.
constexpr Core::Duration fullViewInterval = std::chrono::seconds(3);
// Longest expected delay of the platform's VM list.
constexpr Core::Duration maxVmListDelay = std::chrono::seconds(30);

std::string endpointOf(Member const& member) { return member.address + ":" + std::to_string(member.peerMessagePort); }

}

MemberTable::MemberTable(Member self, MembershipOptions options, Instant now)
    : m_options(std::move(options))
    , m_lastTickAt(now)
    , m_resumedAt(now)
    , m_lastContactAt(now)
{
    m_self.member = std::move(self);
}

std::vector<OutgoingHeartbeat> MemberTable::tick(Instant now)
{
    if (now - m_lastTickAt > m_options.pauseGap) {
        // Heartbeats that were queued in the socket during the pause are stale. Only a heartbeat that contains a beat
        // sent from now on shows that a peer reached this daemon after the pause.
        m_isResumed = true;
        m_resumedAt = now;
        m_resumedBeat = m_self.beat + 1;
        m_isHeartbeatDue = true;
    }
    m_lastTickAt = now;
    noteContact(now);
    expireMembers(now);
    if (!m_isHeartbeatDue && m_lastHeartbeatAt && now - *m_lastHeartbeatAt < m_options.heartbeatInterval)
        return {};
    m_isHeartbeatDue = false;
    m_lastHeartbeatAt = now;
    ++m_self.beat;

    auto const heartbeat = makeHeartbeat(false, now);
    std::vector<OutgoingHeartbeat> outgoing;
    for (auto& endpoint : endpoints(now))
        outgoing.push_back({ std::move(endpoint), heartbeat });
    return outgoing;
}

std::vector<OutgoingHeartbeat> MemberTable::merge(Heartbeat const& heartbeat, Instant now)
{
    auto const& sender = heartbeat.sender.member;
    if (sender.name.empty() || isSelf(sender))
        return {};

    auto const wasKnown = m_records.contains(sender.name);
    mergeEntry(heartbeat.sender, now);
    for (auto const& entry : heartbeat.changes)
        mergeEntry(entry, now);
    auto const record = m_records.find(sender.name);
    auto const isMarkedLeft = record != m_records.end() && record->second.entry.member.state == MemberState::Left
        && sender.state != MemberState::Left && record->second.entry.member.incarnation == sender.incarnation;
    auto const isSameView = heartbeat.viewHash == viewHash();
    if (isSameView)
        mergeBeats(heartbeat, now);
    noteContact(now);
    if (sender.state == MemberState::Left)
        return {};

    // A new member, or one that was marked as left while it was running, gets the full view at once. A known member
    // with a different view may only be waiting for changes that are still in flight.
    auto& fullViewSentAt = m_fullViewSentAt.try_emplace(sender.name, now - fullViewInterval / 2).first->second;
    auto const mayStillConverge = wasKnown && !heartbeat.isFull && !isMarkedLeft;
    if ((isSameView && !isMarkedLeft) || (mayStillConverge && now - fullViewSentAt < fullViewInterval)) {
        if (isSameView)
            fullViewSentAt = now;
        return {};
    }
    if (wasKnown && now - fullViewSentAt < m_options.heartbeatInterval)
        return {};
    fullViewSentAt = now;
    return { { endpointOf(sender), makeHeartbeat(true, now) } };
}

void MemberTable::noteStoreAnswered(Instant startedAt, Instant now)
{
    m_lastContactAt = std::max(m_lastContactAt, now);
    if (m_isResumed && startedAt >= m_resumedAt)
        m_isResumed = false;
}

void MemberTable::noteVmList(std::vector<PlatformVm> const& vms, Instant now)
{
    for (auto& item : m_records) {
        auto& record = item.second;
        auto const isLeaving = std::any_of(vms.begin(), vms.end(), [&](PlatformVm const& vm) {
            return vm.isLeaving && vm.name == item.first && vm.address == record.entry.member.address;
        });
        if (!isLeaving)
            record.ignoreLeavingUntil = {};
        record.isLeaving = isLeaving && now >= record.ignoreLeavingUntil;
    }
}

void MemberTable::noteState(std::string_view name, uint64_t incarnation, MemberState state, Instant now)
{
    auto const record = m_records.find(name);
    if (record == m_records.end() || record->second.entry.member.incarnation != incarnation)
        return;
    auto entry = record->second.entry;
    entry.member.state = state;
    mergeEntry(entry, now);
}

void MemberTable::setSettingsRevision(uint64_t revision)
{
    if (revision <= m_settingsRevision)
        return;
    m_settingsRevision = revision;
    m_isHeartbeatDue = true;
}

void MemberTable::setState(MemberState state)
{
    if (state <= m_self.member.state)
        return;
    m_self.member.state = state;
    noteChange(nullptr, m_lastTickAt);
}

std::vector<Member> MemberTable::live(Instant now) const
{
    std::vector<Member> members;
    for (auto const& [name, record] : m_records) {
        if (record.entry.member.state == MemberState::Serving && !isSuspected(record, now) && !record.isLeaving)
            members.push_back(record.entry.member);
    }
    if (m_self.member.state == MemberState::Serving) {
        auto const position = std::lower_bound(members.begin(), members.end(), m_self.member,
            [](auto const& left, auto const& right) { return left.name < right.name; });
        members.insert(position, m_self.member);
    }
    return members;
}

std::vector<Member> MemberTable::reachable(Instant now) const
{
    std::vector<Member> members;
    for (auto const& [name, record] : m_records) {
        if (record.entry.member.state != MemberState::Left && !isSuspected(record, now))
            members.push_back(record.entry.member);
    }
    return members;
}

std::vector<Member> MemberTable::overlay(Instant now) const
{
    auto const others = reachable(now);
    auto const self = std::lower_bound(others.begin(), others.end(), m_self.member.name,
                          [](Member const& member, std::string const& name) { return member.name < name; })
        - others.begin();
    std::vector<Member> peers;
    for (auto const position : m_options.neighbours(static_cast<size_t>(self), others.size() + 1)) {
        // Ring positions include this member, while `others` does not.
        auto const index = position > static_cast<size_t>(self) ? position - 1 : position;
        peers.push_back(others[index]);
    }
    return peers;
}

size_t MemberTable::knownCount() const
{
    return 1 + static_cast<size_t>(std::count_if(m_records.begin(), m_records.end(), [](auto const& item) {
        return item.second.entry.member.state != MemberState::Left;
    }));
}

bool MemberTable::isIsolated(Instant now) const { return now - m_lastContactAt > m_options.isolatedAfter; }

WorkPermit MemberTable::workPermit(Instant now) const
{
    // After a pause and before the next tick, only the gap since the last tick shows the pause.
    if (m_isResumed || now - m_lastTickAt > m_options.pauseGap)
        return WorkPermit::Resumed;
    return isIsolated(now) ? WorkPermit::Isolated : WorkPermit::Allowed;
}

bool MemberTable::isSuspected(Record const& record, Instant now) const
{
    return now - record.lastHeardAt > m_options.suspectAfter;
}

bool MemberTable::isSelf(Member const& member) const { return member.name == m_self.member.name; }

void MemberTable::mergeEntry(MemberEntry const& entry, Instant now)
{
    auto const& member = entry.member;
    if (isSelf(member)) {
        // The others marked this daemon as left while it was running, so it rejoins as a new instance.
        if (member.incarnation == m_self.member.incarnation && member.state == MemberState::Left
            && m_self.member.state != MemberState::Left) {
            ++m_self.member.incarnation;
            noteChange(nullptr, now);
        }
        return;
    }
    auto const [position, isNew] = m_records.try_emplace(member.name);
    auto& record = position->second;
    auto& known = record.entry.member;
    if (isNew || member.incarnation > known.incarnation) {
        if (isReplaced(member)) {
            if (isNew)
                m_records.erase(position);
            return;
        }
        markReplacedAsLeft(member, now);
        // The VM list can be stale: a leaving flag of the previous instance may remain on it for a while.
        record = { entry, now, now, record.isLeaving ? now + maxVmListDelay : Instant {}, false };
        noteChange(&record, now);
        return;
    }
    if (member.incarnation < known.incarnation)
        return;
    if (member.state > known.state) {
        known.state = member.state;
        noteChange(&record, now);
    }
    noteBeat(record, entry.beat, now);
}

bool MemberTable::isAtSameEndpoint(Member const& first, Member const& second)
{
    return first.name != second.name && first.peerMessagePort == second.peerMessagePort
        && first.address == second.address;
}

bool MemberTable::isReplaced(Member const& member) const
{
    return std::any_of(m_records.begin(), m_records.end(), [&](auto const& item) {
        auto const& other = item.second.entry.member;
        return other.state != MemberState::Left && other.incarnation > member.incarnation
            && isAtSameEndpoint(other, member);
    });
}

void MemberTable::markReplacedAsLeft(Member const& member, Instant now)
{
    for (auto& [name, record] : m_records) {
        auto& other = record.entry.member;
        if (other.state == MemberState::Left || !isAtSameEndpoint(other, member))
            continue;
        other.state = MemberState::Left;
        noteChange(&record, now);
    }
}

void MemberTable::noteBeat(Record& record, uint64_t beat, Instant now)
{
    if (beat <= record.entry.beat)
        return;
    record.entry.beat = beat;
    record.lastHeardAt = now;
}

void MemberTable::mergeBeats(Heartbeat const& heartbeat, Instant now)
{
    auto const advance = [](uint64_t known, uint16_t lowBits) {
        auto const difference = static_cast<int16_t>(static_cast<uint16_t>(lowBits - static_cast<uint16_t>(known)));
        return difference > 0 ? known + static_cast<uint64_t>(difference) : known;
    };
    size_t index = 0;
    auto const nextBeat = [&]() -> std::optional<uint16_t> {
        return index < heartbeat.beats.size() ? std::optional(heartbeat.beats[index++]) : std::nullopt;
    };
    auto isSelfPending = true;
    auto const mergeSelf = [&] {
        isSelfPending = false;
        auto const beat = nextBeat();
        if (!beat || !m_isResumed)
            return;
        auto const distance = static_cast<int16_t>(static_cast<uint16_t>(*beat - static_cast<uint16_t>(m_resumedBeat)));
        if (distance >= 0 && m_self.beat >= m_resumedBeat)
            m_isResumed = false;
    };
    for (auto& [name, record] : m_records) {
        if (isSelfPending && m_self.member.name < name)
            mergeSelf();
        if (record.entry.member.state == MemberState::Left)
            continue;
        if (auto const beat = nextBeat())
            noteBeat(record, advance(record.entry.beat, *beat), now);
    }
    if (isSelfPending)
        mergeSelf();
}

void MemberTable::expireMembers(Instant now)
{
    // Only the majority side of a partition removes members. Otherwise the minority side would remove all others and
    // then regard itself as the majority.
    auto const hasMajority = reachableCount(now) * 2 > knownCount();
    for (auto record = m_records.begin(); record != m_records.end();) {
        auto& state = record->second.entry.member.state;
        auto const silentFor = now - record->second.lastHeardAt;
        if (state == MemberState::Left && now - record->second.changedAt > m_options.tombstoneRetention) {
            m_fullViewSentAt.erase(record->first);
            record = m_records.erase(record);
            continue;
        }
        if (state != MemberState::Left && hasMajority && silentFor > m_options.removeAfter) {
            state = MemberState::Left;
            noteChange(&record->second, now);
        }
        ++record;
    }
}

void MemberTable::noteContact(Instant now)
{
    if (reachableCount(now) * 2 > knownCount())
        m_lastContactAt = now;
}

size_t MemberTable::reachableCount(Instant now) const
{
    return 1 + static_cast<size_t>(std::count_if(m_records.begin(), m_records.end(), [&](auto const& item) {
        return item.second.entry.member.state != MemberState::Left && !isSuspected(item.second, now);
    }));
}

uint64_t MemberTable::viewHash() const
{
    if (m_viewHash)
        return *m_viewHash;
    // A sum does not depend on the order, so self need not be hashed at its position in name order.
    auto const hashOf = [](Member const& member) {
        return Core::combineHashes(
            Core::hashBytes(member.name, member.incarnation), static_cast<uint64_t>(member.state));
    };
    uint64_t hash = 0;
    if (m_self.member.state != MemberState::Left)
        hash += hashOf(m_self.member);
    for (auto const& [name, record] : m_records) {
        if (record.entry.member.state != MemberState::Left)
            hash += hashOf(record.entry.member);
    }
    m_viewHash = hash;
    return hash;
}

void MemberTable::noteChange(Record* record, Instant now)
{
    if (record)
        record->changedAt = now;
    m_viewHash.reset();
    m_isHeartbeatDue = true;
}

Heartbeat MemberTable::makeHeartbeat(bool isFull, Instant now) const
{
    Heartbeat heartbeat;
    heartbeat.sender = m_self;
    heartbeat.settingsRevision = m_settingsRevision;
    heartbeat.viewHash = viewHash();
    heartbeat.isFull = isFull;
    auto isSelfPending = m_self.member.state != MemberState::Left;
    for (auto const& [name, record] : m_records) {
        if (isSelfPending && m_self.member.name < name) {
            heartbeat.beats.push_back(static_cast<uint16_t>(m_self.beat));
            isSelfPending = false;
        }
        if (record.entry.member.state != MemberState::Left)
            heartbeat.beats.push_back(static_cast<uint16_t>(record.entry.beat));
        if (isFull || now - record.changedAt < changeGossipDuration)
            heartbeat.changes.push_back(record.entry);
    }
    if (isSelfPending)
        heartbeat.beats.push_back(static_cast<uint16_t>(m_self.beat));
    return heartbeat;
}

std::vector<std::string> MemberTable::endpoints(Instant now)
{
    std::vector<std::string> endpoints;
    for (auto const& member : overlay(now))
        endpoints.push_back(endpointOf(member));
    // Each round also probes one suspected member or unknown seed, in turn, so that the two sides of a partition
    // find each other again.
    std::vector<std::string> probeCandidates;
    for (auto const& [name, record] : m_records) {
        if (isSuspected(record, now))
            probeCandidates.push_back(endpointOf(record.entry.member));
    }
    for (auto const& seed : m_options.seeds) {
        auto const isKnown = seed == endpointOf(m_self.member)
            || std::any_of(m_records.begin(), m_records.end(),
                [&](auto const& item) { return endpointOf(item.second.entry.member) == seed; });
        if (!isKnown)
            probeCandidates.push_back(seed);
    }
    if (!probeCandidates.empty())
        endpoints.push_back(probeCandidates[m_probeIndex++ % probeCandidates.size()]);
    return endpoints;
}

}
