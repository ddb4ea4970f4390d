#include "Coordination.h"

#include <fstream>
#include <iterator>

namespace Comfreysail::Daemon {

using Core::Empty;
using Core::Error;
using Core::ErrorKind;

Coordination::Coordination(DaemonSettings const& settings)
    : m_daemonSettings(settings)
    , m_members(std::make_shared<std::vector<PeerMember> const>(std::vector<PeerMember> {
          { settings.vmName, 1, settings.availabilityZone, settings.peer.address, settings.peer.port, true } }))
{
}

Core::Result<Empty> Coordination::start()
{
    if (!m_daemonSettings.settingsFile)
        return Empty {};
    std::ifstream stream(*m_daemonSettings.settingsFile, std::ios::binary);
    if (!stream)
        return Error { ErrorKind::InvalidSettings, *m_daemonSettings.settingsFile + ": cannot read the file" };
    std::string toml { std::istreambuf_iterator<char>(stream), {} };
    Settings::SettingsRevision const revision { 1, "settings-file", Settings::settingsHash(toml) };
    auto snapshot = Settings::makeSnapshot(revision, std::move(toml));
    if (isError(snapshot))
        return errorOf(snapshot);
    m_settings = std::make_shared<Settings::SettingsSnapshot const>(takeValue(std::move(snapshot)));
    return Empty {};
}

std::optional<ErrorKind> Coordination::refusal() const
{
    return m_settings ? std::nullopt : std::optional(ErrorKind::SettingsUnavailable);
}

VersionChoice Coordination::versionFor(
    std::string_view service, std::string_view department, std::string_view, double) const
{
    return { Settings::effectiveSettings(*m_settings->tree, service, department).version, std::nullopt, {} };
}

std::string Coordination::zoneFor(std::string_view, std::string_view zone, double) const { return std::string(zone); }

}
