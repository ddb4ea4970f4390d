#include <LibSettings/Parse.h>
#include <LibSettings/SettingsSnapshot.h>

namespace Comfreysail::Settings {

Core::Result<SettingsSnapshot> makeSnapshot(SettingsRevision revision, std::string toml)
{
    auto const name = "settings revision " + std::to_string(revision.revision);
    if (auto const hash = settingsHash(toml); hash != revision.hash)
        return Core::Error { Core::ErrorKind::InvalidSettings,
            name + ": the text has hash " + hash + ", but the revision states " + revision.hash };
    auto parsed = parseSettings(toml, name);
    if (auto const* faults = std::get_if<SettingsFaults>(&parsed))
        return toError(*faults);
    return SettingsSnapshot { std::move(revision), std::get<SettingsTreePointer>(std::move(parsed)), std::move(toml) };
}

}
