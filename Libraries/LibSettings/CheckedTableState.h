#pragma once

// Not included by Settings.h: it needs toml++.

#include <LibSettings/SettingsFault.h>
#include <string>
#include <toml++/toml.h>

namespace Comfreysail::Settings {

/// What the tables of one document share.
struct CheckedTableState {
    std::string file;
    toml::table root;
    SettingsFaults faults;
    bool isParsed { false };
};

}
