#include <LibUsage/UsageLedger.h>

#include <algorithm>

namespace Comfreysail::Usage {

namespace {

// Each daemon sends at least one push for each window.
constexpr int64_t recentWindows = 2;
constexpr auto maxSourceAge = std::chrono::minutes(2);
// A collector may lack one daemon in this number compared with another. That is well below the allowed deviation of a
// count, and a push is lost now and then where there are many daemons.
constexpr size_t daemonsForOneMissing = 50;

/// The clock of a sender may be slightly ahead.
bool isKept(UsageLedger const& ledger, WindowId window, WindowId current)
{
    return window > current - keptWindows(ledger.options) && window <= current + 1;
}

bool isRecent(UsageLedger const& ledger, UsageSource const& source, Core::Instant now)
{
    return now - source.heardAt <= recentWindows * ledger.options.window;
}

}

void mergePush(UsageLedger& ledger, UsagePush const& push, std::optional<Core::Duration> trueTime, Core::Instant now)
{
    auto& source = ledger.sources[push.name];
    source.heardAt = now;
    source.wallOffset = push.wallOffset;
    auto counts = push.counts;
    if (trueTime) {
        auto const current = windowAt(ledger.options, *trueTime);
        std::erase_if(counts, [&](auto const& entry) { return !isKept(ledger, entry.first, current); });
    }
    if (!counts.empty())
        mergeCounts(source.counts[push.incarnation], counts);
}

void maintainLedger(UsageLedger& ledger, std::optional<Core::Duration> trueTime, Core::Instant now)
{
    std::erase_if(ledger.sources, [&](auto const& entry) { return now - entry.second.heardAt > maxSourceAge; });
    if (!trueTime)
        return;
    auto const current = windowAt(ledger.options, *trueTime);
    for (auto& [name, source] : ledger.sources) {
        for (auto& [incarnation, windows] : source.counts)
            std::erase_if(windows, [&](auto const& entry) { return !isKept(ledger, entry.first, current); });
        std::erase_if(source.counts, [](auto const& entry) { return entry.second.empty(); });
    }
}

ReportedCounts countsOf(UsageLedger const& ledger, WindowId window)
{
    ReportedCounts sum;
    for (auto const& [name, source] : ledger.sources) {
        for (auto const& [incarnation, windows] : source.counts) {
            if (auto const found = windows.find(window); found != windows.end())
                addCounts(sum, found->second);
        }
    }
    return sum;
}

std::vector<Core::Duration> recentOffsets(UsageLedger const& ledger, Core::Instant now)
{
    std::vector<Core::Duration> offsets;
    for (auto const& [name, source] : ledger.sources) {
        if (source.wallOffset && isRecent(ledger, source, now))
            offsets.push_back(*source.wallOffset);
    }
    return offsets;
}

size_t recentSources(UsageLedger const& ledger, Core::Instant now)
{
    return static_cast<size_t>(std::ranges::count_if(ledger.sources, [&](auto const& entry) {
        return isRecent(ledger, entry.second, now) && entry.second.heardAt >= ledger.trustedFrom;
    }));
}

void notePause(UsageLedger& ledger, Core::Duration pushTimeout, Core::Instant now)
{
    ledger.trustedFrom = now + pushTimeout;
}

void noteOtherCollector(UsageLedger& ledger, size_t heard, Core::Instant now)
{
    ledger.heardByOther = heard;
    ledger.heardByOtherAt = now;
}

bool hasCountsOfMost(UsageLedger const& ledger, size_t members, Core::Instant now)
{
    auto const heard = recentSources(ledger, now) + 1;
    auto const recent = recentWindows * ledger.options.window;
    if (2 * heard < members)
        return false;
    if (members > 1 && ledger.heardByOtherAt < ledger.trustedFrom && now - ledger.trustedFrom <= recent)
        return false;
    bool const isKnown = now - ledger.heardByOtherAt <= recent;
    return !isKnown || heard + ledger.heardByOther / daemonsForOneMissing >= ledger.heardByOther;
}

}
