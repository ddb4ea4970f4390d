#pragma once

#include <LibCore/Core.h>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace Comfreysail::Retry {

/// Limits of a quarantine.
struct QuarantineLimits {
    size_t maxEntries { 4096 };       ///< When full, the entry that changed least recently is dropped.
    size_t crashesUntilRefused { 2 }; ///< Different target instances that may die before a fingerprint is refused.
    Core::Duration retention { std::chrono::minutes(10) }; ///< Time that a crash is remembered.

    bool operator==(QuarantineLimits const&) const = default;
};

/// One crash, as it is broadcast to the other daemons.
struct CrashReport {
    uint64_t fingerprint { 0 };
    std::string targetInstance; ///< Target name and the time at which the daemon first connected to this instance.

    bool operator==(CrashReport const&) const = default;
};

/// A refused or suspected fingerprint, as it is shown to operators.
struct QuarantineEntry {
    uint64_t fingerprint { 0 };
    std::vector<std::string> targetInstances; ///< Instances that ended while they ran the fingerprint.
    bool isRefused { false };

    bool operator==(QuarantineEntry const&) const = default;
};

/// Remembers which requests were in flight on targets that crashed. A fingerprint in flight at one crash is a suspect;
/// one that was in flight at crashes of two target instances is refused until the retention time has passed.
///
/// A suspect that gets a response is innocent: it shared a target with the request that crashed it. Without this rule
/// a frequent request would be refused after two crashes that it did not cause.
class Quarantine {
public:
    explicit Quarantine(QuarantineLimits = {});

    /// Counts a crash, from this daemon or from a peer. A report that arrives twice counts once.
    void noteCrash(CrashReport const&, Core::Instant now);

    /// Forgets the crashes of a fingerprint that got a response. A refused fingerprint stays refused.
    void noteAnswered(uint64_t fingerprint, Core::Instant now);

    bool isRefused(uint64_t fingerprint, Core::Instant now) const;

    /// True when the next send of this fingerprint must go to a target with nothing else in flight.
    bool isSuspect(uint64_t fingerprint, Core::Instant now) const;

    /// All entries that are within their retention time.
    std::vector<QuarantineEntry> entries(Core::Instant now) const;

    size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        std::vector<std::string> targetInstances;
        Core::Instant lastCrash;
        std::list<uint64_t>::iterator position;
    };

    Entry const* findCurrent(uint64_t fingerprint, Core::Instant now) const;
    Entry& findOrInsert(uint64_t fingerprint, Core::Instant now);
    void erase(uint64_t fingerprint);
    bool isExpired(Entry const&, Core::Instant now) const;

    QuarantineLimits m_limits;
    std::unordered_map<uint64_t, Entry> m_entries;
    std::list<uint64_t> m_byAge; // Oldest change first.
};

}
