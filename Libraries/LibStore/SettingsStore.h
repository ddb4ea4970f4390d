#pragma once

#include <LibSettings/SettingsSnapshot.h>
#include <LibStore/SettingsHead.h>
#include <LibStore/StorePort.h>
#include <optional>

namespace Comfreysail::Store {

/// Reads settings/head; std::nullopt when no settings were accepted yet.
void readSettingsHead(StorePort const&, Core::Instant deadline, Callback<std::optional<SettingsHead>>);

/// Text, tree and revision of a head; reads the object where the text is not in the row. Errors: InvalidSettings where
/// the text does not have the stated hash or is not valid.
void readSettingsSnapshot(StorePort const&, SettingsHead, Core::Instant deadline, Callback<Settings::SettingsSnapshot>);

}
