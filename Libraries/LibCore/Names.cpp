#include <LibCore/Names.h>
#include <algorithm>

namespace Comfreysail::Core {

namespace {

constexpr size_t maxNameLength = 64;
constexpr size_t maxIdempotencyKeyLength = 128;

bool isLetterOrDigit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

bool isNameCharacter(char character) { return isLetterOrDigit(character) || character == '-' || character == '.'; }

bool isVisibleAscii(char character) { return character > ' ' && character <= '~'; }

}

bool isValidName(std::string_view name)
{
    if (name.empty() || name.size() > maxNameLength)
        return false;
    return isLetterOrDigit(name.front()) && std::all_of(name.begin(), name.end(), isNameCharacter);
}

bool isValidIdempotencyKey(std::string_view key)
{
    if (key.empty() || key.size() > maxIdempotencyKeyLength)
        return false;
    return std::all_of(key.begin(), key.end(), isVisibleAscii);
}

}
