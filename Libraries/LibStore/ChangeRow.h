#pragma once

#include <LibCore/Result.h>
#include <LibSettings/SettingsRevision.h>
#include <string>

namespace Comfreysail::Store {

/// The row changes/<change id>, which exists if the change was accepted and holds its revision.
struct ChangeRow {
    Settings::SettingsRevision revision;

    bool operator==(ChangeRow const&) const = default;

    std::string toJson() const;
    static Core::Result<ChangeRow> fromJson(std::string const&);
};

}
