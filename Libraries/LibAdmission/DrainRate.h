#pragma once

#include <LibCore/Time.h>

namespace Comfreysail::Admission {

/// Mean time between the ends of requests while others wait: the time that one place in the queue is worth.
class DrainRate {
public:
    void noteFinished(bool othersWait, Core::Instant now);

    /// Zero until enough ends were seen to rely on.
    Core::Duration interval() const;

private:
    double m_meanSeconds { 0 };
    unsigned m_samples { 0 };
    bool m_isBusy { false }; ///< Requests were waiting at the previous end, so the interval to the next one counts.
    Core::Instant m_lastFinish;
};

}
