#pragma once

#include "DaemonSettings.h"
#include "PeerEvents.h"
#include "PeerMember.h"
#include "VersionChoice.h"
#include <LibCore/Core.h>
#include <LibMoves/Observation.h>
#include <LibSettings/Settings.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Daemon {

/// FIXME: Stands in for ControlPlane (branch peers) with the same functions: one daemon, settings from a file.
class Coordination {
public:
    using SettingsPointer = std::shared_ptr<Settings::SettingsSnapshot const>;

    explicit Coordination(DaemonSettings const&);
    Core::Result<Core::Empty> start();
    SettingsPointer settings() const { return m_settings; }
    std::shared_ptr<std::vector<PeerMember> const> liveMembers() const { return m_members; }
    uint64_t generation() const { return m_settings ? 1 : 0; }
    std::optional<Core::ErrorKind> refusal() const;
    VersionChoice versionFor(
        std::string_view service, std::string_view department, std::string_view route, double uniform) const;
    void reportEvidence(Moves::Observation const&) { }
    void reportCrash(CrashNotice const&) { }
    std::string zoneFor(std::string_view service, std::string_view zone, double uniform) const;

private:
    DaemonSettings m_daemonSettings;
    SettingsPointer m_settings;
    std::shared_ptr<std::vector<PeerMember> const> m_members;
};

}
