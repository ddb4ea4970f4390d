#pragma once

#include <string>
#include <string_view>

namespace Comfreysail::Settings {

/// A key in TOML syntax: bare if possible, otherwise quoted. Names such as "v1.2" need quotes.
std::string tomlKey(std::string_view);

/// A TOML basic string, including its quotes.
std::string tomlString(std::string_view);

/// Appends a key to a dotted path.
std::string joinPath(std::string_view path, std::string_view key);

}
