#pragma once

#include <LibTraffic/DirectoryEntry.h>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Traffic {

struct DirectoryOptions {
    /// Time after the registry's return within which registrations that expired during its outage are back.
    Core::Duration registryRecoveryTime { std::chrono::seconds(2) };
    /// If the registry was not read for longer than this, registrations may have expired during an outage.
    Core::Duration maxReadGap { std::chrono::milliseconds(2500) };
    /// First and longest time for which a failing target is ejected, which means that it gets no requests. The time
    /// doubles with each further failure.
    Core::Duration baseEjectionTime { std::chrono::milliseconds(300) };
    Core::Duration maxEjectionTime { std::chrono::seconds(5) };
    /// Number of consecutive failed requests after which a target that still answers is ejected. A single failure may
    /// be the fault of the request.
    unsigned failedRequestsBeforeEjection { 2 };

    bool operator==(DirectoryOptions const&) const = default;
};

/// Failures of a send that indicate a problem of the target.
enum class TargetFault : uint8_t {
    Unreachable,   ///< No connection could be opened, or it was lost.
    FailedRequest, ///< The target answered that the request failed.
    OtherTarget,   ///< The address now belongs to another target.
};

/// All targets of the registry with this daemon's state for each of them.
class TargetDirectory {
public:
    explicit TargetDirectory(DirectoryOptions = {});

    /// Replaces the list of targets by a complete read of the registry.
    void replaceAll(std::vector<RegisteredTarget> const&, Core::Instant now);

    /// Returns the targets of a service that may get requests: registered as ready, in an availability zone that is in
    /// service, and not ejected. `version`, if given, restricts them to one version. Cold targets are included.
    std::vector<DirectoryEntry const*> eligible(std::string_view service, std::optional<std::string_view> version,
        std::set<std::string, std::less<>> const& zonesOutOfService, Core::Instant now) const;

    /// Returns the number of ready targets of a service for each version.
    std::map<std::string, unsigned, std::less<>> versionsOf(std::string_view service) const;

    /// Returns the target with this id, or nullptr.
    DirectoryEntry const* find(std::string_view id) const;
    /// The note functions do nothing if the target is not known.
    void noteSent(std::string_view id);
    void noteEnded(std::string_view id);
    void noteLoad(std::string_view id, TargetLoad const&, Core::Instant now);
    void noteCold(std::string_view id, Core::Duration coldLeft, Core::Instant now);
    void noteAnswered(std::string_view id);
    void noteFault(std::string_view id, TargetFault, Core::Instant now);
    /// The target answered that it is draining.
    void noteLeaving(std::string_view id);

    size_t size() const { return m_records.size(); }

private:
    DirectoryEntry* record(std::string_view id);

    DirectoryOptions m_options;
    std::map<std::string, DirectoryEntry, std::less<>> m_records;
    std::optional<Core::Instant> m_lastReadAt;
    Core::Instant m_incompleteUntil {};
};

}
