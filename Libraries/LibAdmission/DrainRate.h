#pragma once

#include <LibCore/Time.h>

namespace Comfreysail::Admission {

/// Mean time between completions while other requests are queued: the expected time until the queue advances by one.
class DrainRate {
public:
    void noteFinished(bool hasQueuedRequests, Core::Instant now);

    /// Returns the mean interval, or zero while there are too few completions for an estimate.
    Core::Duration interval() const;

private:
    double m_meanSeconds { 0 };
    unsigned m_samples { 0 };
    bool m_hadQueuedRequests { false }; ///< Requests were queued at the last completion; the next interval counts.
    Core::Instant m_lastFinish;
};

}
