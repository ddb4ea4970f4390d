#pragma once

/// Public header of LibSettings: the settings tree of the operators, its parser, effective values, difference and the
/// rules for adopting a revision; and the checked TOML reader that the daemon's own settings file uses too.

#include <LibSettings/Adoption.h>
#include <LibSettings/CheckedDocument.h>
#include <LibSettings/CheckedTable.h>
#include <LibSettings/Difference.h>
#include <LibSettings/EffectiveSettings.h>
#include <LibSettings/FetchStep.h>
#include <LibSettings/Parse.h>
#include <LibSettings/Serialize.h>
#include <LibSettings/SettingKey.h>
#include <LibSettings/SettingsFault.h>
#include <LibSettings/SettingsRevision.h>
#include <LibSettings/SettingsSnapshot.h>
#include <LibSettings/SettingsTree.h>
#include <LibSettings/TomlText.h>
