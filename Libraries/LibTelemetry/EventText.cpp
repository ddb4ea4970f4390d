#include <LibTelemetry/EventText.h>

#include <algorithm>
#include <charconv>

namespace Comfreysail::Telemetry {

namespace {

constexpr std::string_view eventKey = "event=";

/// Parses a value and removes it and the space after it from the start of `text`.
std::string takeValue(std::string_view& text)
{
    std::string value;
    if (!text.starts_with('"')) {
        value = std::string(text.substr(0, text.find(' ')));
        text.remove_prefix(value.size());
    } else {
        text.remove_prefix(1);
        while (!text.empty() && text.front() != '"') {
            char character = text.front();
            text.remove_prefix(1);
            if (character == '\\' && text.size() >= 3 && text.front() == 'x') {
                unsigned code = 0;
                std::from_chars(text.data() + 1, text.data() + 3, code, 16);
                character = static_cast<char>(code);
                text.remove_prefix(3);
            } else if (character == '\\' && !text.empty()) {
                character = text.front();
                text.remove_prefix(1);
            }
            value += character;
        }
        text.remove_prefix(std::min<size_t>(1, text.size()));
    }
    text.remove_prefix(std::min<size_t>(1, text.size()));
    return value;
}

/// True for the severity letter and date at the start of a glog line, such as "I20261204".
bool isGlogDate(std::string_view word)
{
    return word.size() == 9 && std::string_view("IWEF").find(word.front()) != std::string_view::npos
        && std::all_of(
            word.begin() + 1, word.end(), [](char character) { return character >= '0' && character <= '9'; });
}

void readPrefix(std::string_view prefix, EventText& text)
{
    while (!prefix.empty()) {
        auto const word = prefix.substr(0, prefix.find(' '));
        prefix.remove_prefix(std::min(word.size() + 1, prefix.size()));
        if (isGlogDate(word)) {
            text.time = std::string(word.substr(1)) + " " + std::string(prefix.substr(0, prefix.find(' ')));
            return;
        }
        // Keeps the last word before the daemon's own text; a log collector may add its own timestamps before it.
        if (!word.empty())
            text.source = std::string(word);
    }
}

}

std::optional<std::string_view> EventText::field(std::string_view name) const
{
    auto const found = std::ranges::find(fields, name, [](auto const& field) { return std::string_view(field.first); });
    return found == fields.end() ? std::nullopt : std::optional<std::string_view>(found->second);
}

std::optional<EventText> parseEventLine(std::string_view line)
{
    auto const begin = line.find(eventKey);
    if (begin == std::string_view::npos || (begin > 0 && line[begin - 1] != ' '))
        return std::nullopt;
    EventText text;
    readPrefix(line.substr(0, begin), text);
    auto rest = line.substr(begin);
    while (!rest.empty()) {
        auto const equals = rest.find('=');
        if (equals == std::string_view::npos)
            break;
        std::string key(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        auto value = takeValue(rest);
        if (key == "event")
            text.event = std::move(value);
        else
            text.fields.emplace_back(std::move(key), std::move(value));
    }
    return text;
}

}
