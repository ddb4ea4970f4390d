#include <LibHTTP/Fields.h>
#include <algorithm>
#include <array>

namespace Comfreysail::HTTP {

namespace {

constexpr std::string_view comfreysailPrefix = "Comfreysail-";

constexpr std::array<std::string_view, 9> hopByHopNames { "Connection", "Keep-Alive", "Proxy-Connection",
    "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade" };

char lowerCase(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character + ('a' - 'A')) : character;
}

bool isBlank(char character) { return character == ' ' || character == '\t'; }

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && isBlank(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && isBlank(text.back()))
        text.remove_suffix(1);
    return text;
}

bool mayBeRemovedByConnection(std::string_view name)
{
    return !equalsIgnoringCase(name, "Content-Length") && !equalsIgnoringCase(name, "Host")
        && !equalsIgnoringCase(name, "Idempotency-Key")
        && !equalsIgnoringCase(name.substr(0, comfreysailPrefix.size()), comfreysailPrefix);
}

}

bool equalsIgnoringCase(std::string_view first, std::string_view second)
{
    return first.size() == second.size()
        && std::equal(first.begin(), first.end(), second.begin(),
            [](char left, char right) { return lowerCase(left) == lowerCase(right); });
}

std::vector<std::string_view> splitList(std::string_view list)
{
    std::vector<std::string_view> elements;
    while (!list.empty()) {
        size_t const comma = std::min(list.find(','), list.size());
        auto const element = trimmed(list.substr(0, comma));
        if (!element.empty())
            elements.push_back(element);
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return elements;
}

std::optional<std::string_view> Fields::find(std::string_view name) const
{
    for (auto const& field : m_fields) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

bool Fields::containsToken(std::string_view name, std::string_view token) const
{
    return std::any_of(m_fields.begin(), m_fields.end(), [&](Field const& field) {
        if (!equalsIgnoringCase(field.name, name))
            return false;
        auto const elements = splitList(field.value);
        return std::any_of(elements.begin(), elements.end(),
            [&](std::string_view element) { return equalsIgnoringCase(element, token); });
    });
}

void Fields::add(std::string_view name, std::string_view value)
{
    m_fields.push_back({ std::string(name), std::string(value) });
}

void Fields::set(std::string_view name, std::string_view value)
{
    remove(name);
    add(name, value);
}

void Fields::remove(std::string_view name)
{
    std::erase_if(m_fields, [&](Field const& field) { return equalsIgnoringCase(field.name, name); });
}

void removeHopByHopFields(Fields& fields)
{
    std::vector<std::string> names(hopByHopNames.begin(), hopByHopNames.end());
    for (auto const& field : fields.all()) {
        if (!equalsIgnoringCase(field.name, "Connection"))
            continue;
        for (auto const element : splitList(field.value)) {
            if (mayBeRemovedByConnection(element))
                names.emplace_back(element);
        }
    }
    for (auto const& name : names)
        fields.remove(name);
}

}
