#pragma once

#include <LibTraffic/TargetRecord.h>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Traffic {

struct DirectoryOptions {
    /// Registrations that expired while the registry was unavailable are back within this time after its return.
    Core::Duration returnGrace { std::chrono::seconds(2) };
    /// A registry that was not read for this long may have lost registrations meanwhile.
    Core::Duration longestReadGap { std::chrono::milliseconds(2500) };
    /// First and longest time for which a target that fails is left out; doubles with each further failure.
    Core::Duration firstAvoidance { std::chrono::milliseconds(300) };
    Core::Duration longestAvoidance { std::chrono::seconds(5) };
    /// Failures in a row after which a target that answers is left out; one failure may be the request's fault.
    unsigned answeredFailuresBeforeAvoidance { 2 };

    bool operator==(DirectoryOptions const&) const = default;
};

/// Why a send to a target failed, as far as it says something about the target.
enum class TargetFault : uint8_t {
    Unreachable,   ///< No connection, or it was lost.
    FailedRequest, ///< It answered that the request failed.
    OtherTarget,   ///< Another target has the address.
};

/// All targets of the registry, with what this daemon has learnt about each.
class TargetDirectory {
public:
    explicit TargetDirectory(DirectoryOptions = {});

    /// Takes over a complete reading of the registry.
    void replaceAll(std::vector<RegisteredTarget> const&, Core::Instant now);

    /// Targets of a service that may get requests: registered as ready, in an availability zone in service, and not
    /// avoided. `version` limits them to one version. Cold targets are included.
    std::vector<TargetRecord const*> eligible(std::string_view service, std::optional<std::string_view> version,
        std::set<std::string, std::less<>> const& zonesOut, Core::Instant now) const;

    /// Versions of the ready targets of a service with the number of targets.
    std::map<std::string, unsigned, std::less<>> versionsOf(std::string_view service) const;

    /// A target with this id, or nullptr.
    TargetRecord const* find(std::string_view id) const;
    /// Nothing changes when the target is no longer known.
    void noteSent(std::string_view id);
    void noteEnded(std::string_view id);
    void noteLoad(std::string_view id, TargetLoad const&, Core::Instant now);
    void noteCold(std::string_view id, Core::Duration coldLeft, Core::Instant now);
    void noteAnswered(std::string_view id);
    void noteFault(std::string_view id, TargetFault, Core::Instant now);
    /// The target answered that it leaves.
    void noteLeaving(std::string_view id);

    size_t size() const { return m_records.size(); }

private:
    TargetRecord* record(std::string_view id);

    DirectoryOptions m_options;
    std::map<std::string, TargetRecord, std::less<>> m_records;
    std::optional<Core::Instant> m_lastReadAt;
    Core::Instant m_incompleteUntil {};
};

}
