#include <LibUsage/OwnCounts.h>

#include <algorithm>

namespace Comfreysail::Usage {

namespace {

// Without true time for longer than the kept windows, the first sends cannot be reported any more.
constexpr size_t maxPending = 5000;

std::optional<WindowId> windowOf(OwnCounts const& counts, TrueClock const& clock, Core::Instant instant)
{
    auto const time = trueTimeAt(clock, instant);
    return time ? std::optional(windowAt(counts.options, *time)) : std::nullopt;
}

}

CountedSend countSend(OwnCounts& counts, TrueClock const& clock, std::string_view department, Core::Instant sentAt)
{
    CountedSend send { std::string(department), sentAt, windowOf(counts, clock, sentAt) };
    if (send.window)
        ++counts.windows[*send.window][send.department].sent;
    else if (counts.pending.size() < maxPending)
        counts.pending.push_back(send);
    return send;
}

void takeBack(OwnCounts& counts, TrueClock const& clock, CountedSend const& send)
{
    auto const window = send.window ? send.window : windowOf(counts, clock, send.sentAt);
    if (window) {
        ++counts.windows[*window][send.department].notRun;
        return;
    }
    auto const found = std::ranges::find_if(counts.pending, [&](CountedSend const& pending) {
        return pending.sentAt == send.sentAt && pending.department == send.department;
    });
    if (found != counts.pending.end())
        counts.pending.erase(found);
}

void maintainCounts(OwnCounts& counts, TrueClock const& clock, Core::Instant now)
{
    auto const current = windowOf(counts, clock, now);
    if (!current)
        return;
    for (auto const& send : counts.pending)
        ++counts.windows[*windowOf(counts, clock, send.sentAt)][send.department].sent;
    counts.pending.clear();
    std::erase_if(
        counts.windows, [&](auto const& entry) { return entry.first <= *current - keptWindows(counts.options); });
}

}
