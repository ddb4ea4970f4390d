#pragma once

namespace Comfreysail::Traffic {

/// Estimates whether requests that wait at a target without a free slot still finish within their latency target. Where
/// targets slow down when they are full, such requests finish late and take slots from requests that would be on time.
class QueueingEstimate {
public:
    void note(bool wasOnTime);

    /// Returns true if a request should wait at a target. `uniform` in [0, 1) is a random number: a small fraction of
    /// the requests waits in any case, so that a change is noticed.
    bool shouldWait(double uniform) const;

private:
    /// Starts below the threshold: before it is known that waiting requests end in time, only the small fraction waits.
    double m_onTimeFraction { 0.6 };
};

}
