#include "Invocation.h"
#include <array>
#include <charconv>
#include <ctime>

namespace Comfreysail::Tool {

namespace {

struct Unit {
    std::string_view name;
    int64_t milliseconds;
};

constexpr std::array<Unit, 5> units { { { "ms", 1 }, { "s", 1'000 }, { "m", 60'000 }, { "h", 3'600'000 },
    { "d", 86'400'000 } } };

// Every move takes less than a year. The limit also keeps the sum with the current time from overflowing.
constexpr int64_t maxOffsetMilliseconds = 366LL * 86'400'000;

std::optional<Core::WallTime> parseOffset(std::string_view text, Core::WallTime now)
{
    int64_t count = 0;
    auto const [end, code] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (code != std::errc() || count < 0)
        return {};
    std::string_view const rest(end, static_cast<size_t>(text.data() + text.size() - end));
    for (auto const& unit : units) {
        if (unit.name == rest && count <= maxOffsetMilliseconds / unit.milliseconds)
            return now + std::chrono::milliseconds(count * unit.milliseconds);
    }
    return {};
}

}

std::optional<Core::WallTime> parseTime(std::string const& text, Core::WallTime now)
{
    if (text == "now")
        return now;
    if (text.starts_with('+'))
        return parseOffset(std::string_view(text).substr(1), now);
    std::tm fields {};
    auto const* end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &fields);
    if (!end || *end != '\0')
        return {};
    return Core::fromUnixMilliseconds(static_cast<int64_t>(timegm(&fields)) * 1000);
}

std::string timeText(Core::WallTime time)
{
    auto const seconds = static_cast<std::time_t>(Core::toUnixMilliseconds(time) / 1000);
    std::tm fields {};
    gmtime_r(&seconds, &fields);
    std::array<char, 32> text {};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &fields);
    return text.data();
}

}
