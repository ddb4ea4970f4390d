#include <LibHTTP/KeepAlive.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace Comfreysail::HTTP {

namespace {

constexpr std::string_view timeoutPrefix = "timeout=";
// A longer time counts as this one, which is longer than any connection is kept.
constexpr uint64_t maxSeconds = 86'400;

std::optional<Core::Duration> parseTimeout(std::string_view parameter)
{
    if (!equalsIgnoringCase(parameter.substr(0, timeoutPrefix.size()), timeoutPrefix))
        return std::nullopt;
    auto const text = parameter.substr(timeoutPrefix.size());
    uint64_t seconds = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return std::chrono::seconds(std::min(seconds, maxSeconds));
}

}

std::optional<Core::Duration> keepAliveTimeout(Fields const& fields)
{
    std::optional<Core::Duration> shortest;
    for (auto const& field : fields.all()) {
        if (!equalsIgnoringCase(field.name, "Keep-Alive"))
            continue;
        for (auto const parameter : splitList(field.value)) {
            auto const timeout = parseTimeout(parameter);
            if (timeout && (!shortest || *timeout < *shortest))
                shortest = timeout;
        }
    }
    return shortest;
}

}
