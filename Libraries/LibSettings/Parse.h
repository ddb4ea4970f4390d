#pragma once

#include <LibSettings/SettingsFault.h>
#include <LibSettings/SettingsTree.h>
#include <string>
#include <string_view>
#include <variant>

namespace Comfreysail::Settings {

/// Parses and checks a settings tree. `file` is only the file name in faults. All faults are returned, in line order.
std::variant<SettingsTreePointer, SettingsFaults> parseSettings(std::string_view toml, std::string file);

}
