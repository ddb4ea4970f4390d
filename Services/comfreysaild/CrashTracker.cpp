#include "CrashTracker.h"

#include <algorithm>

namespace Comfreysail::Daemon {

CrashTracker::Send CrashTracker::noteSent(std::string const& target, uint64_t fingerprint, Core::WallTime now)
{
    std::lock_guard const lock(m_mutex);
    auto& entry = m_targets[target];
    if (entry.instance.empty() || entry.hasCrashed) {
        entry.instance = target + "@" + std::to_string(Core::toUnixMilliseconds(now));
        entry.hasCrashed = false;
    }
    entry.inFlight.emplace(entry.instance, fingerprint);
    return { target, entry.instance, fingerprint };
}

void CrashTracker::noteEnded(Send const& send)
{
    std::lock_guard const lock(m_mutex);
    auto& inFlight = m_targets[send.target].inFlight;
    auto const [first, last] = inFlight.equal_range(send.instance);
    auto const found = std::find_if(first, last, [&](auto const& item) { return item.second == send.fingerprint; });
    if (found != last)
        inFlight.erase(found);
}

std::vector<uint64_t> CrashTracker::noteCrashed(Send const& send)
{
    std::lock_guard const lock(m_mutex);
    auto& entry = m_targets[send.target];
    if (entry.instance == send.instance)
        entry.hasCrashed = true;
    std::vector<uint64_t> fingerprints;
    auto const [first, last] = entry.inFlight.equal_range(send.instance);
    for (auto item = first; item != last; ++item)
        fingerprints.push_back(item->second);
    return fingerprints;
}

}
