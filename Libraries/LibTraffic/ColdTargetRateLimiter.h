#pragma once

#include <LibCore/Time.h>
#include <map>
#include <string>
#include <string_view>

namespace Comfreysail::Traffic {

/// Limits the rate at which this daemon sends requests to a cold target. Each daemon gets an equal part of the target's
/// limit, so that all daemons together stay within it without coordination.
class ColdTargetRateLimiter {
public:
    /// Returns true and counts the send if a request may be sent to the cold target now. `daemons` is the largest
    /// number of daemons that may be running. `phase` in [0, 1) delays the first send by that fraction of the interval
    /// between two sends, so that daemons that discover the target at the same moment do not all send at once.
    bool tryTake(std::string_view target, double requestsPerSecond, unsigned daemons, double phase, Core::Instant now);

private:
    std::map<std::string, Core::Instant, std::less<>> m_nextAllowed;
};

}
