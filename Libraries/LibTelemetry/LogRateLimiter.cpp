#include <LibTelemetry/LogGate.h>

#include <utility>

namespace Comfreysail::Telemetry {

namespace {

constexpr auto countedSpan = std::chrono::seconds(1);

}

LogGate::LogGate(LogGateOptions options)
    : m_options(options)
{
}

bool LogGate::admits(std::string_view event, std::string_view line, Core::Instant now)
{
    auto found = m_counts.find(event);
    if (found == m_counts.end())
        found = m_counts.emplace(event, Count { now, 0, 0, {} }).first;
    auto& count = found->second;
    if (now - count.begin >= countedSpan) {
        if (count.held > 0)
            m_held.push_back({ found->first, count.held, std::move(count.last) });
        count = { now, 0, 0, {} };
    }
    if (count.lines < m_options.linesPerSecond) {
        ++count.lines;
        return true;
    }
    ++count.held;
    count.last = line;
    return false;
}

std::vector<HeldLines> LogGate::takeHeld(Core::Instant now)
{
    for (auto& [event, count] : m_counts) {
        if (count.held > 0 && now - count.begin >= countedSpan) {
            m_held.push_back({ event, count.held, std::move(count.last) });
            count = { now, 0, 0, {} };
        }
    }
    return std::exchange(m_held, {});
}

}
