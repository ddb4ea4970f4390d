#pragma once

#include <LibCore/Time.h>

namespace Comfreysail::Traffic {

/// Estimates the rate of requests from their times, as an exponentially decaying count. Starts at 0.
class RequestRateEstimate {
public:
    void note(Core::Instant now);
    double perSecond(Core::Instant now) const;

private:
    double m_count { 0 }; ///< Decayed number of requests until `m_lastAt`.
    Core::Instant m_lastAt {};
};

}
