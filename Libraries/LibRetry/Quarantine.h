#pragma once

#include <LibCore/Core.h>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace Comfreysail::Retry {

/// Limits of a quarantine.
struct QuarantineLimits {
    size_t maxEntries { 4096 };       ///< When full, the least recently changed entry is dropped.
    size_t crashesUntilRefused { 2 }; ///< Crashes of different target instances after which a fingerprint is refused.
    Core::Duration retention { std::chrono::minutes(10) }; ///< How long after its last crash a fingerprint is kept.

    bool operator==(QuarantineLimits const&) const = default;
};

/// A crash as it is broadcast to the other daemons.
struct CrashReport {
    uint64_t fingerprint { 0 };
    /// The target's name and the time at which the daemon first connected to this instance of it.
    std::string targetInstance;

    bool operator==(CrashReport const&) const = default;
};

/// A suspect or refused fingerprint, as shown to operators.
struct QuarantineEntry {
    uint64_t fingerprint { 0 };
    std::vector<std::string> targetInstances; ///< Instances that crashed while they ran the fingerprint's request.
    bool isRefused { false };

    bool operator==(QuarantineEntry const&) const = default;
};

/// Tracks which requests were in flight on targets that crashed. A fingerprint that was in flight at one crash is a
/// suspect; one that was in flight at crashes of two target instances is refused until the retention time has passed.
///
/// A suspect that gets a response is cleared: it merely shared a target with the request that crashed it. Without this
/// rule, a frequent request would be refused after two crashes that it did not cause. A refused one is cleared by the
/// response to a send that began after its last crash: it was in flight on several targets that failed together.
class Quarantine {
public:
    explicit Quarantine(QuarantineLimits = {});

    /// Records a crash that this daemon or a peer reported. A report that arrives twice counts once. `crashedAt` may be
    /// in the past.
    void noteCrash(CrashReport const&, Core::Instant crashedAt);

    /// Withdraws a report, because another daemon found that the request crashes no target or the report has expired.
    void withdraw(CrashReport const&);

    /// Clears a suspect fingerprint that got a response, and a refused one whose send began after its last crash.
    /// Returns true if the fingerprint was cleared.
    bool noteAnswered(uint64_t fingerprint, Core::Instant sentAt, Core::Instant now);

    bool isRefused(uint64_t fingerprint, Core::Instant now) const;

    /// Returns true if the next send of this fingerprint must go to a target with no other requests in flight.
    bool isSuspect(uint64_t fingerprint, Core::Instant now) const;

    /// Returns all entries within their retention time.
    std::vector<QuarantineEntry> entries(Core::Instant now) const;

    size_t size() const { return m_entries.size(); }
    QuarantineLimits const& limits() const { return m_limits; }

private:
    struct Entry {
        std::vector<std::string> targetInstances;
        Core::Instant lastCrash;
        std::list<uint64_t>::iterator position;
    };

    Entry const* findUnexpired(uint64_t fingerprint, Core::Instant now) const;
    Entry& findOrInsert(uint64_t fingerprint, Core::Instant now);
    void erase(uint64_t fingerprint);
    bool isExpired(Entry const&, Core::Instant now) const;

    QuarantineLimits m_limits;
    std::unordered_map<uint64_t, Entry> m_entries;
    std::list<uint64_t> m_fingerprintsByChange; // Least recently changed first.
};

}
