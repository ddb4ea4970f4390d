#include "FaultSwitch.h"
#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace json = boost::json;

namespace Comfreysail::Fakes {

namespace {

constexpr std::array<std::string_view, 8> modeNames { "up", "down", "hang", "slow", "lose_answers", "late", "busy",
    "too_many" };

}

std::optional<FaultSwitch> FaultSwitch::fromJson(std::string_view text)
{
    json::error_code code;
    auto const value = json::parse({ text.data(), text.size() }, code);
    if (code || !value.is_object())
        return {};
    auto const& object = value.get_object();
    auto const* mode = object.if_contains("mode");
    if (!mode || !mode->is_string())
        return {};
    auto const found = std::ranges::find(modeNames, std::string_view(mode->get_string()));
    if (found == modeNames.end())
        return {};
    FaultSwitch result { static_cast<Mode>(found - modeNames.begin()), {}, {} };
    auto const number = [&](char const* field) -> std::optional<int64_t> {
        auto const* entry = object.if_contains(field);
        return entry && entry->is_int64() && entry->get_int64() >= 0 ? std::optional(entry->get_int64()) : std::nullopt;
    };
    result.delay = std::chrono::milliseconds(number("delay_ms").value_or(0));
    if (auto const* callers = object.if_contains("callers"); callers && callers->is_string())
        result.callers = callers->get_string().c_str();
    if (auto count = number("count"))
        result.remaining = static_cast<uint64_t>(*count);
    return result;
}

std::string_view FaultSwitch::modeName() const { return modeNames[static_cast<size_t>(mode)]; }

FaultSwitch::Mode FaultSwitch::take(std::string_view caller)
{
    if (!callers.empty() && callers != caller)
        return Mode::Up;
    if (remaining && *remaining == 0)
        *this = {};
    else if (remaining)
        --*remaining;
    return mode;
}

}
