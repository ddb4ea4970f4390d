#include <LibUsage/UsageCounts.h>

#include <algorithm>

namespace Comfreysail::Usage {

void mergeCounts(CountsByWindow& into, CountsByWindow const& counts)
{
    for (auto const& [window, departments] : counts) {
        auto& known = into[window];
        for (auto const& [department, count] : departments) {
            auto& merged = known[department];
            merged.sent = std::max(merged.sent, count.sent);
            merged.notRun = std::max(merged.notRun, count.notRun);
        }
    }
}

CountsByWindow countsBeyond(CountsByWindow const& counts, CountsByWindow const& known)
{
    CountsByWindow result;
    for (auto const& [window, departments] : counts) {
        auto const knownWindow = known.find(window);
        for (auto const& [department, count] : departments) {
            bool isKnown = false;
            if (knownWindow != known.end()) {
                auto const found = knownWindow->second.find(department);
                isKnown = found != knownWindow->second.end() && found->second == count;
            }
            if (!isKnown)
                result[window][department] = count;
        }
    }
    return result;
}

void addCounts(ReportedCounts& sum, WindowCounts const& counts)
{
    for (auto const& [department, count] : counts) {
        if (count.sent > count.notRun)
            sum[department] += count.sent - count.notRun;
    }
}

}
