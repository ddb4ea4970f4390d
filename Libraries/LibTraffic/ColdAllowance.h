#pragma once

#include <LibCore/Time.h>
#include <map>
#include <string>
#include <string_view>

namespace Comfreysail::Traffic {

/// Bounds what this daemon sends to a cold target, so that all daemons together stay within the target's limit although
/// they do not ask each other: each has an equal part of the rate.
class ColdAllowance {
public:
    /// True when a request may be sent to the cold target now; the send is then counted. `daemons` is the largest
    /// number of daemons that may be running. `phase` in [0, 1) puts off the first send, so that daemons that come upon
    /// the target at the same moment do not all send at once.
    bool tryTake(std::string_view target, double requestsPerSecond, unsigned daemons, double phase, Core::Instant now);

private:
    std::map<std::string, Core::Instant, std::less<>> m_nextAllowed;
};

}
