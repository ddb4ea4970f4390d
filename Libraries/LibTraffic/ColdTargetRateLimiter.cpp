#include <LibTraffic/ColdTargetRateLimiter.h>

#include <algorithm>

namespace Comfreysail::Traffic {

namespace {

// Expired entries are dropped when the map is larger than this. Targets that warmed up are not looked up again.
constexpr size_t maxEntries = 1024;
constexpr double microsecondsPerSecond = 1e6;
// Fraction of the rate that is used. The rest is headroom for sends of several daemons that coincide by chance.
constexpr double usedFraction = 0.6;

}

bool ColdTargetRateLimiter::tryTake(
    std::string_view target, double requestsPerSecond, unsigned daemons, double phase, Core::Instant now)
{
    if (requestsPerSecond <= 0)
        return false;
    if (m_nextAllowed.size() > maxEntries)
        std::erase_if(m_nextAllowed, [now](auto const& item) { return item.second < now; });
    auto const rate = requestsPerSecond * usedFraction;
    auto const interval = microsecondsPerSecond * std::max(daemons, 1U) / rate;
    auto const after
        = [now](double microseconds) { return now + Core::Duration(static_cast<Core::Duration::rep>(microseconds)); };
    auto const [entry, isNew] = m_nextAllowed.try_emplace(std::string(target), after(interval * phase));
    if (now < entry->second)
        return false;
    entry->second = after(interval);
    return true;
}

}
