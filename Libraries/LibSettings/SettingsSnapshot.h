#pragma once

#include <LibCore/Result.h>
#include <LibSettings/SettingsRevision.h>
#include <LibSettings/SettingsTree.h>
#include <string>

namespace Comfreysail::Settings {

/// A revision with its tree and the text it was parsed from, which peers that cannot reach the store ask for.
struct SettingsSnapshot {
    SettingsRevision revision;
    SettingsTreePointer tree;
    std::string toml;
};

/// Checks that the text has the hash of the revision and is valid, and parses it. Errors: InvalidSettings.
Core::Result<SettingsSnapshot> makeSnapshot(SettingsRevision, std::string toml);

}
