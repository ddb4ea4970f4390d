#include <LibRetry/CrashRow.h>

#include <charconv>

namespace Comfreysail::Retry {

namespace {

// About 300 years. A larger number would overflow when it is converted to microseconds.
constexpr int64_t maxMilliseconds = 10'000'000'000'000;

std::optional<Core::Duration> parseMilliseconds(std::string_view text)
{
    int64_t number = 0;
    auto const* const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, number);
    bool const isValid
        = result.ec == std::errc() && result.ptr == end && number >= -maxMilliseconds && number <= maxMilliseconds;
    return isValid ? std::optional<Core::Duration>(std::chrono::milliseconds(number)) : std::nullopt;
}

}

std::string crashRowKey(CrashReport const& report)
{
    return Core::toHex(report.fingerprint) + "-" + report.targetInstance;
}

std::string crashRowValue(std::optional<Core::Duration> crashedAt)
{
    if (!crashedAt)
        return {};
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*crashedAt).count());
}

std::optional<CrashRow> parseCrashRow(std::string_view key, std::string_view value)
{
    constexpr int hexadecimal = 16;
    auto const dash = key.find('-');
    if (dash == std::string_view::npos)
        return std::nullopt;
    CrashRow row;
    auto const* const end = key.data() + dash;
    auto const result = std::from_chars(key.data(), end, row.report.fingerprint, hexadecimal);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    row.report.targetInstance = std::string(key.substr(dash + 1));
    row.crashedAt = parseMilliseconds(value);
    return row;
}

}
