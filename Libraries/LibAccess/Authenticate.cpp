#include <LibAccess/Authenticate.h>

#include <algorithm>

namespace Comfreysail::Access {

namespace {

constexpr std::string_view lowerCaseScheme = "token";

bool isScheme(std::string_view text)
{
    return std::ranges::equal(text, lowerCaseScheme, [](char character, char expected) {
        bool const isUpper = character >= 'A' && character <= 'Z';
        return (isUpper ? static_cast<char>(character + ('a' - 'A')) : character) == expected;
    });
}

}

Authentication authenticate(KeyTable const& table, std::span<std::string_view const> authorizationValues)
{
    if (authorizationValues.empty())
        return KeyRefusal::NoKey;
    if (authorizationValues.size() > 1)
        return KeyRefusal::Repeated;
    auto const value = authorizationValues.front();
    auto const schemeEnd = std::min(value.find(' '), value.size());
    if (!isScheme(value.substr(0, schemeEnd)))
        return KeyRefusal::Malformed;
    auto const key = value.substr(std::min(value.find_first_not_of(' ', schemeEnd), value.size()));
    if (key.size() > maxKeyBytes)
        return KeyRefusal::TooLong;
    if (!isValidKey(key))
        return KeyRefusal::Malformed;
    auto const* const department = table.find(key);
    if (!department)
        return KeyRefusal::Unknown;
    return department;
}

Department const* departmentOf(Authentication const& authentication)
{
    auto const* const department = std::get_if<Department const*>(&authentication);
    return department ? *department : nullptr;
}

}
