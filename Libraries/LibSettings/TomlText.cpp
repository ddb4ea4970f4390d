#include <LibSettings/TomlText.h>
#include <algorithm>
#include <array>
#include <cstdio>

namespace Comfreysail::Settings {

namespace {

bool isBareCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9') || character == '_' || character == '-';
}

}

std::string tomlKey(std::string_view key)
{
    if (!key.empty() && std::ranges::all_of(key, isBareCharacter))
        return std::string(key);
    return tomlString(key);
}

std::string tomlString(std::string_view text)
{
    std::string result = "\"";
    for (auto const character : text) {
        if (character == '"' || character == '\\') {
            result += '\\';
            result += character;
        } else if (static_cast<unsigned char>(character) < 0x20 || character == 0x7f) {
            std::array<char, 8> escape {};
            std::snprintf(escape.data(), escape.size(), "\\u%04X", static_cast<unsigned>(character));
            result += escape.data();
        } else {
            result += character;
        }
    }
    return result + '"';
}

std::string joinPath(std::string_view path, std::string_view key)
{
    return path.empty() ? tomlKey(key) : std::string(path) + '.' + tomlKey(key);
}

}
