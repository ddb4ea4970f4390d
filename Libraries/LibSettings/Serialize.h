#pragma once

#include <LibSettings/SettingsTree.h>
#include <string>

namespace Comfreysail::Settings {

/// The tree as TOML. Parsing the result gives an equal tree.
std::string serializeSettings(SettingsTree const&);

}
