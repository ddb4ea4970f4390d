#include <LibTraffic/TargetDirectory.h>

#include <algorithm>

namespace Comfreysail::Traffic {

using Core::Duration;
using Core::Instant;

namespace {

// With this many doublings any sensible options have reached the maximum time.
constexpr unsigned maxDoublings = 10;

}

TargetDirectory::TargetDirectory(DirectoryOptions options)
    : m_options(options)
{
}

void TargetDirectory::replaceAll(std::vector<RegisteredTarget> const& targets, Instant now)
{
    if (m_lastReadAt && now - *m_lastReadAt > m_options.maxReadGap)
        m_incompleteUntil = now + m_options.registryRecoveryTime;
    m_lastReadAt = now;
    std::set<std::string_view> present;
    for (auto const& target : targets) {
        present.insert(target.id);
        auto [entry, isNew] = m_records.try_emplace(target.id);
        auto& record = entry->second;
        bool const hasRestarted = !isNew && record.target.startedAt != target.startedAt;
        if (hasRestarted)
            record = {};
        // The cold time of an entry may stay unchanged over many reads, so it is counted from now only if it changed.
        if (target.coldLeft.count() > 0 && (isNew || hasRestarted || record.target.coldLeft != target.coldLeft))
            record.coldUntil = std::max(record.coldUntil, now + target.coldLeft);
        record.target = target;
        record.missingSince.reset();
    }
    for (auto& [id, record] : m_records) {
        if (!present.contains(id) && !record.missingSince)
            record.missingSince = now;
    }
    std::erase_if(m_records, [&](auto const& item) {
        return item.second.missingSince && now >= m_incompleteUntil && item.second.inFlight == 0;
    });
}

std::vector<DirectoryEntry const*> TargetDirectory::eligible(std::string_view service,
    std::optional<std::string_view> version, std::set<std::string, std::less<>> const& zonesOutOfService,
    Instant now) const
{
    std::vector<DirectoryEntry const*> result;
    for (auto const& [id, record] : m_records) {
        auto const& target = record.target;
        bool const isRegistered = !record.missingSince || now < m_incompleteUntil;
        if (isRegistered && target.service == service && target.state == RegistrationState::Ready && !record.hasLeft
            && now >= record.ejectedUntil && (!version || target.version == *version)
            && !zonesOutOfService.contains(target.availabilityZone))
            result.push_back(&record);
    }
    return result;
}

std::map<std::string, unsigned, std::less<>> TargetDirectory::versionsOf(std::string_view service) const
{
    std::map<std::string, unsigned, std::less<>> versions;
    for (auto const& [id, record] : m_records) {
        if (record.target.service == service && record.target.state == RegistrationState::Ready)
            ++versions[record.target.version];
    }
    return versions;
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

void TargetDirectory::noteLeaving(std::string_view id)
{
    if (auto* const found = record(id))
        found->hasLeft = true;
}

}
