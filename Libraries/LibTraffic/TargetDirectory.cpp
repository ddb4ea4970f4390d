#include <LibTraffic/TargetDirectory.h>

#include <LibCore/Hash.h>
#include <algorithm>

namespace Comfreysail::Traffic {

using Core::Duration;
using Core::Instant;

namespace {

// With this many doublings any sensible options have reached the maximum time.
constexpr unsigned maxDoublings = 10;
// Targets whose statements are remembered. Beyond it those without a registration are forgotten; ids are rarely used
// again.
constexpr size_t maxStatements = 4096;

}

TargetDirectory::TargetDirectory(std::string_view daemonName, DirectoryOptions options)
    : m_daemonHash(Core::hashBytes(daemonName))
    , m_options(options)
{
}

void TargetDirectory::replaceAll(std::vector<RegisteredTarget> const& targets, Instant now)
{
    noteRead(now);
    std::set<std::string_view> present;
    for (auto const& target : targets) {
        present.insert(target.id);
        update(target, now);
    }
    for (auto const& [id, record] : m_records) {
        if (!present.contains(id))
            noteMissing(id, now);
    }
    dropMissing(now);
}

void TargetDirectory::applyChanges(
    std::vector<RegisteredTarget> const& changed, std::vector<std::string> const& removed, Instant now)
{
    noteRead(now);
    for (auto const& target : changed)
        update(target, now);
    for (auto const& id : removed)
        noteMissing(id, now);
    dropMissing(now);
}

void TargetDirectory::noteRead(Instant now)
{
    if (m_lastReadAt && now - *m_lastReadAt > m_options.maxReadGap)
        m_incompleteUntil = now + m_options.registryRecoveryTime;
    m_lastReadAt = now;
}

void TargetDirectory::update(RegisteredTarget const& target, Instant now)
{
    auto [entry, isNew] = m_records.try_emplace(target.id);
    auto& record = entry->second;
    if (!isNew)
        removeFromIndex(record);
    bool const hasRestarted = !isNew && record.target.startedAt != target.startedAt;
    if (hasRestarted)
        record = {};
    // The cold time of an entry may stay unchanged over many reads, so it is counted from now only if it changed.
    if (target.coldLeft.count() > 0 && (isNew || hasRestarted || record.target.coldLeft != target.coldLeft))
        record.coldUntil = std::max(record.coldUntil, now + target.coldLeft);
    record.target = target;
    // A target that drains exits afterwards, so a later entry of the same run that says otherwise is an older one.
    if (target.state == RegistrationState::Draining && target.startedAt != 0)
        statementOf(target).hasDrained = true;
    auto const statement = m_statements.find(target.id);
    if (statement != m_statements.end() && statement->second.startedAt == target.startedAt) {
        record.saidLeavingAt = statement->second.saidLeavingAt;
        record.hasLeft = record.hasLeft || record.saidLeavingAt || statement->second.hasDrained;
        if (!record.pause)
            record.pause = statement->second.pause;
    }
    record.missingSince.reset();
    m_missing.erase(target.id);
    index(record);
}

void TargetDirectory::index(DirectoryEntry const& record)
{
    auto const& target = record.target;
    auto const rank = Core::combineHashes(m_daemonHash, Core::hashBytes(target.id));
    m_rankedTargets[target.service].emplace(std::pair(rank, std::string_view(target.id)), &record);
    if (target.state == RegistrationState::Ready)
        ++m_readyTargets[target.service][target.version];
}

void TargetDirectory::removeFromIndex(DirectoryEntry const& record)
{
    auto const& target = record.target;
    auto const rank = Core::combineHashes(m_daemonHash, Core::hashBytes(target.id));
    auto const ranked = m_rankedTargets.find(target.service);
    ranked->second.erase(std::pair(rank, std::string_view(target.id)));
    if (ranked->second.empty())
        m_rankedTargets.erase(ranked);
    if (target.state != RegistrationState::Ready)
        return;
    auto const versions = m_readyTargets.find(target.service);
    auto const count = versions->second.find(target.version);
    if (--count->second == 0)
        versions->second.erase(count);
    if (versions->second.empty())
        m_readyTargets.erase(versions);
}

void TargetDirectory::noteMissing(std::string_view id, Instant now)
{
    auto* const found = record(id);
    if (!found || found->missingSince)
        return;
    found->missingSince = now;
    m_missing.emplace(id);
}

void TargetDirectory::dropMissing(Instant now)
{
    if (now < m_incompleteUntil)
        return;
    for (auto id = m_missing.begin(); id != m_missing.end();) {
        auto const found = m_records.find(*id);
        if (found->second.inFlight > 0) {
            ++id;
            continue;
        }
        removeFromIndex(found->second);
        m_records.erase(found);
        id = m_missing.erase(id);
    }
}

std::vector<DirectoryEntry const*> TargetDirectory::eligible(std::string_view service,
    std::optional<std::string_view> version, std::set<std::string, std::less<>> const& zonesOutOfService,
    Instant now) const
{
    std::vector<DirectoryEntry const*> result;
    auto const ranked = m_rankedTargets.find(service);
    if (ranked == m_rankedTargets.end())
        return result;
    size_t limited = 0;
    for (auto const& [rankAndId, record] : ranked->second) {
        if (result.size() + limited == m_options.maxTargetsPerDaemon)
            break;
        if (isInService(*record, version, zonesOutOfService, now) && now >= record->ejectedUntil
            && !isPaused(record->pause, now)) {
            if (isSendAllowed(record->limit, now) && isSendAllowed(record->pause, now))
                result.push_back(record);
            else
                ++limited;
        }
    }
    return result;
}

bool TargetDirectory::isInService(DirectoryEntry const& record, std::optional<std::string_view> version,
    std::set<std::string, std::less<>> const& zonesOutOfService, Instant now) const
{
    auto const& target = record.target;
    bool const isRegistered = !record.missingSince || now < m_incompleteUntil;
    return isRegistered && target.state == RegistrationState::Ready && !record.hasLeft
        && (!version || target.version == *version) && !zonesOutOfService.contains(target.availabilityZone);
}

std::vector<TargetPause> TargetDirectory::pausesOf(std::string_view service, std::optional<std::string_view> version,
    std::set<std::string, std::less<>> const& zonesOutOfService, Instant now) const
{
    std::vector<TargetPause> result;
    auto const ranked = m_rankedTargets.find(service);
    if (ranked == m_rankedTargets.end())
        return result;
    for (auto const& [rankAndId, record] : ranked->second) {
        if (!isInService(*record, version, zonesOutOfService, now))
            continue;
        if (!isSendAllowed(record->pause, now)) {
            if (result.size() == m_options.maxTargetsPerDaemon)
                continue;
            result.push_back(*record->pause);
            result.back().until = std::max(result.back().until, record->ejectedUntil);
        } else if (now >= record->ejectedUntil && isSendAllowed(record->limit, now)) {
            return {};
        }
    }
    return result;
}

std::vector<DirectoryEntry const*> TargetDirectory::targetsOf(std::string_view service) const
{
    std::vector<DirectoryEntry const*> result;
    auto const ranked = m_rankedTargets.find(service);
    if (ranked == m_rankedTargets.end())
        return result;
    for (auto const& [rankAndId, record] : ranked->second)
        result.push_back(record);
    return result;
}

std::map<std::string, unsigned, std::less<>> TargetDirectory::versionsOf(std::string_view service) const
{
    auto const found = m_readyTargets.find(service);
    return found == m_readyTargets.end() ? std::map<std::string, unsigned, std::less<>> {} : found->second;
}

DirectoryEntry const* TargetDirectory::find(std::string_view id) const
{
    auto const found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

DirectoryEntry* TargetDirectory::record(std::string_view id)
{
    auto const found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

void TargetDirectory::noteSent(std::string_view id)
{
    if (auto* const found = record(id)) {
        ++found->inFlight;
        ++found->sentSinceLoad;
    }
}

void TargetDirectory::noteEnded(std::string_view id)
{
    auto* const found = record(id);
    if (found && found->inFlight > 0)
        --found->inFlight;
}

void TargetDirectory::noteLoad(std::string_view id, TargetLoad const& load, Instant now)
{
    if (auto* const found = record(id)) {
        found->load = load;
        found->loadMeasuredAt = now;
        found->sentSinceLoad = 0;
    }
}

void TargetDirectory::noteCold(std::string_view id, Duration coldLeft, Instant now)
{
    if (auto* const found = record(id))
        found->coldUntil = now + coldLeft;
}

void TargetDirectory::noteAnswered(std::string_view id)
{
    if (auto* const found = record(id)) {
        found->failureStreak = 0;
        found->ejectedUntil = {};
    }
}

void TargetDirectory::noteFault(std::string_view id, TargetFault fault, Instant now)
{
    auto* const found = record(id);
    if (!found)
        return;
    if (fault == TargetFault::OtherTarget) {
        found->hasLeft = true;
        return;
    }
    ++found->failureStreak;
    auto const toleratedFailures = fault == TargetFault::FailedRequest ? m_options.failedRequestsBeforeEjection - 1 : 0;
    if (found->failureStreak <= toleratedFailures)
        return;
    auto const doublings = std::min(found->failureStreak - toleratedFailures - 1, maxDoublings);
    found->ejectedUntil = now + std::min(m_options.baseEjectionTime * (1U << doublings), m_options.maxEjectionTime);
}

double TargetDirectory::limitDivisorOf(DirectoryEntry const& record, size_t daemons) const
{
    auto const ranked = m_rankedTargets.find(record.target.service);
    return limitDivisor(
        daemons, ranked == m_rankedTargets.end() ? 0 : ranked->second.size(), m_options.maxTargetsPerDaemon);
}

void TargetDirectory::noteLimit(std::string_view id, std::optional<double> requestsPerSecond, bool isProbe,
    Instant sentAt, size_t daemons, double phase, Instant now)
{
    auto* const found = record(id);
    if (!found)
        return;
    if (requestsPerSecond)
        found->limit
            = withNamedLimit(found->limit, *requestsPerSecond, isProbe, limitDivisorOf(*found, daemons), phase, now);
    else if (found->limit && isEndedBy(*found->limit, isProbe, sentAt))
        found->limit.reset();
}

std::optional<std::string> TargetDirectory::takeDueLimitProbe(std::string_view service, Instant now)
{
    auto const ranked = m_rankedTargets.find(service);
    if (ranked == m_rankedTargets.end())
        return std::nullopt;
    for (auto const& [rankAndId, entry] : ranked->second) {
        if (!entry->limit || !isProbeDue(*entry->limit, now) || now < entry->ejectedUntil
            || isPaused(entry->pause, now))
            continue;
        record(rankAndId.second)->limit->probedAt = now;
        return entry->target.id;
    }
    return std::nullopt;
}

void TargetDirectory::noteChosen(std::string_view id, size_t daemons, Instant now)
{
    auto* const found = record(id);
    if (found && found->limit)
        found->limit = withSend(*found->limit, limitDivisorOf(*found, daemons), now);
    if (found && found->pause) {
        found->pause = withSend(*found->pause, now);
        statementOf(found->target).pause = found->pause;
    }
}

size_t TargetDirectory::limitedTargets(std::string_view service, Instant now) const
{
    auto const ranked = m_rankedTargets.find(service);
    if (ranked == m_rankedTargets.end())
        return 0;
    return static_cast<size_t>(std::ranges::count_if(
        ranked->second, [now](auto const& item) { return !isSendAllowed(item.second->limit, now); }));
}

StatedExclusions TargetDirectory::statedExclusions(std::string_view service, Instant now) const
{
    StatedExclusions result;
    auto const ranked = m_rankedTargets.find(service);
    if (ranked == m_rankedTargets.end())
        return result;
    for (auto const& [rankAndId, record] : ranked->second) {
        if (record->saidLeavingAt) {
            ++result.leaving;
            result.oldestAt = std::min(result.oldestAt, *record->saidLeavingAt);
        } else if (!isSendAllowed(record->pause, now)) {
            ++(isPaused(record->pause, now) ? result.waiting : result.returning);
            result.oldestAt = std::min(result.oldestAt, record->pause->toldAt);
        } else if (!isSendAllowed(record->limit, now)) {
            ++result.limited;
            result.oldestAt = std::min(result.oldestAt, record->limit->namedAt);
        }
    }
    return result;
}

void TargetDirectory::noteLeaving(std::string_view id, Instant now)
{
    auto* const found = record(id);
    if (!found)
        return;
    found->hasLeft = true;
    found->saidLeavingAt = found->saidLeavingAt.value_or(now);
    statementOf(found->target).saidLeavingAt = found->saidLeavingAt;
}

void TargetDirectory::notePause(
    std::string_view id, Duration stated, Duration typicalWork, size_t daemons, double uniform, Instant now)
{
    auto* const found = record(id);
    if (!found || stated.count() <= 0 || (found->pause && found->pause->until >= now + stated))
        return;
    PausedTarget const target { found->target.slots, typicalWork, limitDivisorOf(*found, daemons) };
    found->pause = makePause(stated, target, uniform, now);
    statementOf(found->target).pause = found->pause;
}

TargetDirectory::Statement& TargetDirectory::statementOf(RegisteredTarget const& target)
{
    if (m_statements.size() >= maxStatements)
        std::erase_if(m_statements, [this](auto const& item) { return !m_records.contains(item.first); });
    auto& statement = m_statements[target.id];
    if (statement.startedAt != target.startedAt)
        statement = {};
    statement.startedAt = target.startedAt;
    return statement;
}

std::optional<Instant> TargetDirectory::firstReturn(std::string_view service, Instant now) const
{
    std::optional<Instant> first;
    auto const ranked = m_rankedTargets.find(service);
    if (ranked == m_rankedTargets.end())
        return first;
    for (auto const& [rankAndId, record] : ranked->second) {
        auto until = record->ejectedUntil;
        if (!isSendAllowed(record->pause, now))
            until = std::max(until, sendTime({ &*record->pause, 1 }, 0));
        if (!isSendAllowed(record->limit, now))
            until = std::max(until, record->limit->nextAllowed);
        bool const isExpected = record->target.state == RegistrationState::Ready && !record->hasLeft;
        if (isExpected && until > now)
            first = std::min(first.value_or(until), until);
    }
    return first;
}

}
