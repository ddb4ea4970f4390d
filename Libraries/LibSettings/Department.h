#pragma once

#include <LibSettings/SettingKey.h>
#include <map>
#include <optional>
#include <string>

namespace Comfreysail::Settings {

struct Department {
    std::optional<std::string> parent;
    LevelValues values;
    std::map<std::string, LevelValues, std::less<>> services; ///< Values for one service only.

    bool operator==(Department const&) const = default;
};

}
