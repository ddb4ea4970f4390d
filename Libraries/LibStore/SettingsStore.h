#pragma once

#include <LibSettings/SettingsSnapshot.h>
#include <LibStore/SettingsHead.h>
#include <LibStore/StorePort.h>
#include <optional>

namespace Comfreysail::Store {

/// Reads settings/head. The result is std::nullopt if no settings were accepted yet.
void readSettingsHead(StorePort const&, Core::Instant deadline, Callback<std::optional<SettingsHead>>);

/// Loads the settings of a head, from an object if the text is not in the row. Errors: InvalidSettings if the text does
/// not match the hash or is not valid, and the errors of StorePort::readObject.
void readSettingsSnapshot(StorePort const&, SettingsHead, Core::Instant deadline, Callback<Settings::SettingsSnapshot>);

}
