#pragma once

#include "ToolContext.h"
#include <LibSettings/SettingsSnapshot.h>
#include <LibSettings/SettingsTree.h>
#include <string>

namespace Comfreysail::Tool {

/// The text of a settings file and its parsed tree.
struct SettingsFile {
    std::string toml;
    Settings::SettingsTreePointer tree;
};

/// Reads and validates a settings file. Errors: InvalidSettings, with one line for each fault; also if the file cannot
/// be read.
Core::Result<SettingsFile> readSettingsFile(std::string const& path);

/// Returns the settings in force, or revision 0 and an empty tree if there are none. Retries until the command's
/// deadline while the store is unavailable.
Core::Result<Settings::SettingsSnapshot> readSettingsInForce(ToolContext const&);

/// Sleeps for the retry interval. Returns false at once if that would reach the deadline.
bool waitForRetry(Core::Instant deadline);

}
