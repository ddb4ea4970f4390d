#pragma once

#include <string>
#include <string_view>

namespace Comfreysail::Settings {

/// A key as TOML writes it: bare where possible, otherwise quoted. Names such as "v1.2" need the quotes.
std::string tomlKey(std::string_view);

/// A basic string with its quotes.
std::string tomlString(std::string_view);

/// Appends a key to a dotted path.
std::string joinPath(std::string_view path, std::string_view key);

}
