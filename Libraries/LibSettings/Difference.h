#pragma once

#include <LibSettings/SettingsTree.h>
#include <optional>
#include <string>
#include <vector>

namespace Comfreysail::Settings {

/// One path whose value differs between two trees; std::nullopt where the path does not exist.
struct Difference {
    std::string path;                  ///< Such as "services.orders.versions.v2.targets.t1.port".
    std::optional<std::string> before; ///< As written in TOML.
    std::optional<std::string> after;

    bool operator==(Difference const&) const = default;

    /// "- path = before" and "+ path = after", one line for each that exists.
    std::string text() const;
};

/// All differences, ordered by path.
std::vector<Difference> differences(SettingsTree const& before, SettingsTree const& after);

}
