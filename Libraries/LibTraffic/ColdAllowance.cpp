#include <LibTraffic/ColdAllowance.h>

#include <algorithm>

namespace Comfreysail::Traffic {

namespace {

// Old entries are dropped when there are more than this; targets that warmed up are not asked for again.
constexpr size_t maxEntries = 1024;
constexpr double microsecondsPerSecond = 1e6;

}

bool ColdAllowance::tryTake(std::string_view target, double requestsPerSecond, unsigned daemons, Core::Instant now)
{
    if (requestsPerSecond <= 0)
        return false;
    if (m_nextAllowed.size() > maxEntries)
        std::erase_if(m_nextAllowed, [now](auto const& item) { return item.second < now; });
    auto const found = m_nextAllowed.find(target);
    if (found != m_nextAllowed.end() && now < found->second)
        return false;
    auto const interval = Core::Duration(
        static_cast<Core::Duration::rep>(microsecondsPerSecond * std::max(daemons, 1U) / requestsPerSecond));
    m_nextAllowed[std::string(target)] = now + interval;
    return true;
}

}
