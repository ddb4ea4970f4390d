#include <LibRetry/Quarantine.h>
#include <algorithm>

namespace Comfreysail::Retry {

Quarantine::Quarantine(QuarantineLimits limits)
    : m_limits(limits)
{
}

void Quarantine::noteCrash(CrashReport const& report, Core::Instant crashedAt)
{
    auto& entry = findOrInsert(report.fingerprint, crashedAt);
    auto& instances = entry.targetInstances;
    bool const isKnown = std::find(instances.begin(), instances.end(), report.targetInstance) != instances.end();
    if (isKnown || instances.size() >= m_limits.crashesUntilRefused)
        return;
    instances.push_back(report.targetInstance);
    entry.lastCrash = std::max(entry.lastCrash, crashedAt);
    m_fingerprintsByChange.splice(m_fingerprintsByChange.end(), m_fingerprintsByChange, entry.position);
}

void Quarantine::withdraw(CrashReport const& report)
{
    auto const found = m_entries.find(report.fingerprint);
    if (found == m_entries.end())
        return;
    std::erase(found->second.targetInstances, report.targetInstance);
    if (found->second.targetInstances.empty())
        erase(report.fingerprint);
}

bool Quarantine::noteAnswered(uint64_t fingerprint, Core::Instant sentAt, Core::Instant now)
{
    auto const* entry = findUnexpired(fingerprint, now);
    if (!entry || (isRefused(fingerprint, now) && sentAt <= entry->lastCrash))
        return false;
    erase(fingerprint);
    return true;
}

bool Quarantine::isRefused(uint64_t fingerprint, Core::Instant now) const
{
    auto const* entry = findUnexpired(fingerprint, now);
    return entry && entry->targetInstances.size() >= m_limits.crashesUntilRefused;
}

bool Quarantine::isSuspect(uint64_t fingerprint, Core::Instant now) const
{
    auto const* entry = findUnexpired(fingerprint, now);
    return entry && entry->targetInstances.size() < m_limits.crashesUntilRefused;
}

std::vector<QuarantineEntry> Quarantine::entries(Core::Instant now) const
{
    std::vector<QuarantineEntry> result;
    for (auto fingerprint : m_fingerprintsByChange) {
        auto const* entry = findUnexpired(fingerprint, now);
        if (!entry)
            continue;
        result.push_back({ .fingerprint = fingerprint,
            .targetInstances = entry->targetInstances,
            .isRefused = entry->targetInstances.size() >= m_limits.crashesUntilRefused });
    }
    return result;
}

Quarantine::Entry const* Quarantine::findUnexpired(uint64_t fingerprint, Core::Instant now) const
{
    auto const found = m_entries.find(fingerprint);
    if (found == m_entries.end() || isExpired(found->second, now))
        return nullptr;
    return &found->second;
}

Quarantine::Entry& Quarantine::findOrInsert(uint64_t fingerprint, Core::Instant now)
{
    auto found = m_entries.find(fingerprint);
    if (found != m_entries.end() && isExpired(found->second, now)) {
        erase(fingerprint);
        found = m_entries.end();
    }
    if (found != m_entries.end())
        return found->second;

    if (m_entries.size() >= m_limits.maxEntries)
        erase(m_fingerprintsByChange.front());
    auto const position = m_fingerprintsByChange.insert(m_fingerprintsByChange.end(), fingerprint);
    return m_entries.emplace(fingerprint, Entry { {}, now, position }).first->second;
}

void Quarantine::erase(uint64_t fingerprint)
{
    auto const found = m_entries.find(fingerprint);
    m_fingerprintsByChange.erase(found->second.position);
    m_entries.erase(found);
}

bool Quarantine::isExpired(Entry const& entry, Core::Instant now) const
{
    return now - entry.lastCrash >= m_limits.retention;
}

}
