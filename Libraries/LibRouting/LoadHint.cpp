#include <LibRouting/LoadHint.h>
#include <charconv>

namespace Comfreysail::Routing {

namespace {

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

std::optional<unsigned> parseNumber(std::string_view text)
{
    unsigned value = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<TargetState> parseState(std::string_view text)
{
    if (text == "serving")
        return TargetState::Serving;
    if (text == "cold")
        return TargetState::Cold;
    if (text == "draining")
        return TargetState::Draining;
    return std::nullopt;
}

}

LoadHint parseLoadHint(std::string_view header)
{
    LoadHint hint;
    while (!header.empty()) {
        auto const end = header.find(';');
        auto const field = trimmed(header.substr(0, end));
        header = end == std::string_view::npos ? std::string_view() : header.substr(end + 1);

        auto const separator = field.find('=');
        if (separator == std::string_view::npos)
            continue;
        auto const name = trimmed(field.substr(0, separator));
        auto const value = trimmed(field.substr(separator + 1));
        if (name == "in_flight")
            hint.inFlight = parseNumber(value);
        else if (name == "limit")
            hint.limit = parseNumber(value);
        else if (name == "state")
            hint.state = parseState(value);
    }
    return hint;
}

}
