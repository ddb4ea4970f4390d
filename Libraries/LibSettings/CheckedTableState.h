#pragma once

// Not part of the public header, because it includes toml++.

#include <LibSettings/SettingsFault.h>
#include <string>
#include <toml++/toml.h>

namespace Comfreysail::Settings {

/// State shared by the tables of one document.
struct CheckedTableState {
    std::string file;
    toml::table root;
    SettingsFaults faults;
    bool isParsed { false };
};

}
