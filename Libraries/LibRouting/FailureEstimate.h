#pragma once

#include <LibCore/Time.h>
#include <LibRouting/SendOutcome.h>

namespace Comfreysail::Routing {

/// Tracks the failure rate of one target. Without it, join-shortest-queue would send most of the traffic to a target
/// that fails fast, because such a target always has the fewest requests in flight.
class FailureEstimate {
public:
    void note(SendOutcome, Core::Instant now);

    /// Fraction of recent sends that failed, in [0, 1].
    double rate() const { return m_rate; }

    /// Returns true while the target should be avoided. `rateOfOthers` is the failure rate of the rest of its group:
    /// failures that occur on every target are caused by the requests and say nothing about one target.
    bool isFailing(double rateOfOthers) const;

    /// Returns true if the backoff after the last failure has passed, so that one request may test the target.
    bool mayTest(Core::Instant now) const { return now >= m_testAt; }

private:
    double m_rate { 0 };
    Core::Duration m_backoff { 0 };
    Core::Instant m_testAt;
};

}
