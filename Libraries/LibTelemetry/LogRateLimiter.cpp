#include <LibTelemetry/LogRateLimiter.h>

#include <utility>

namespace Comfreysail::Telemetry {

namespace {

constexpr auto countingInterval = std::chrono::seconds(1);

}

LogRateLimiter::LogRateLimiter(LogRateLimiterOptions options)
    : m_options(options)
{
}

bool LogRateLimiter::admits(std::string_view event, std::string_view line, Core::Instant now)
{
    auto found = m_counts.find(event);
    if (found == m_counts.end())
        found = m_counts.emplace(event, Count { now, 0, 0, {} }).first;
    auto& count = found->second;
    if (now - count.begin >= countingInterval) {
        if (count.suppressed > 0)
            m_suppressed.push_back({ found->first, count.suppressed, std::move(count.last) });
        count = { now, 0, 0, {} };
    }
    if (count.lines < m_options.linesPerSecond) {
        ++count.lines;
        return true;
    }
    ++count.suppressed;
    count.last = line;
    return false;
}

std::vector<SuppressedLines> LogRateLimiter::takeSuppressed(Core::Instant now)
{
    for (auto& [event, count] : m_counts) {
        if (count.suppressed > 0 && now - count.begin >= countingInterval) {
            m_suppressed.push_back({ event, count.suppressed, std::move(count.last) });
            count = { now, 0, 0, {} };
        }
    }
    return std::exchange(m_suppressed, {});
}

}
