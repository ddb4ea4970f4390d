#pragma once

#include "ToolContext.h"
#include <LibSettings/SettingsSnapshot.h>
#include <LibSettings/SettingsTree.h>
#include <string>

namespace Comfreysail::Tool {

/// A settings file with the tree that it holds.
struct SettingsFile {
    std::string toml;
    Settings::SettingsTreePointer tree;
};

/// Errors: InvalidSettings with one line for each fault, also where the file cannot be read.
Core::Result<SettingsFile> readSettingsFile(std::string const& path);

/// The settings in force; revision 0 and an empty tree when there are none. Tried again until the command's deadline
/// while the store is unavailable.
Core::Result<Settings::SettingsSnapshot> readSettingsInForce(ToolContext const&);

/// Waits a little before a call is repeated; false when the deadline comes first.
bool waitForRetry(Core::Instant deadline);

}
