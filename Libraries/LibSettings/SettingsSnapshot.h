#pragma once

#include <LibCore/Result.h>
#include <LibSettings/SettingsRevision.h>
#include <LibSettings/SettingsTree.h>
#include <string>

namespace Comfreysail::Settings {

/// A revision with its tree and the text it was parsed from, which is sent to peers that cannot reach the store.
struct SettingsSnapshot {
    SettingsRevision revision;
    SettingsTreePointer tree;
    std::string toml;
};

/// Parses the text after checking it against the hash of the revision. Error: InvalidSettings if the hash differs or
/// the text is not valid.
Core::Result<SettingsSnapshot> makeSnapshot(SettingsRevision, std::string toml);

}
