#include <LibCore/Hash.h>
#include <LibSettings/SettingsRevision.h>

namespace Comfreysail::Settings {

std::string settingsHash(std::string_view toml) { return Core::hexDigest(toml); }

}
