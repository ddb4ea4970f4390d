#pragma once

#include <LibCore/Time.h>
#include <LibRouting/SendOutcome.h>

namespace Comfreysail::Routing {

/// Tracks failures of one target. A target that fails fast always has the fewest requests in flight, so without this
/// join-shortest-queue would send it most of the traffic.
class FailureEstimate {
public:
    void note(SendOutcome, Core::Instant now);

    /// Share of recent sends that failed, in [0, 1].
    double rate() const { return m_rate; }

    /// True while the target is to be avoided, given the failure rate of the rest of its group: failures that every
    /// target shows are the fault of the requests and say nothing about one target.
    bool isFailing(double rateOfOthers) const;

    /// True when the waiting time after the last failure has passed, so that one request may test the target.
    bool mayTest(Core::Instant now) const { return now >= m_testAt; }

private:
    double m_rate { 0 };
    Core::Duration m_backoff { 0 };
    Core::Instant m_testAt;
};

}
