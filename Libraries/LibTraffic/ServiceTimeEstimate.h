#pragma once

#include <LibCore/Time.h>

namespace Comfreysail::Traffic {

/// Estimates the time that a request of a route takes at expected cost 1, from requests whose cost was known.
class ServiceTimeEstimate {
public:
    /// Adds a sample. `cost` is the cost that placement expected. Samples with a high cost are ignored, because the
    /// slowness of a target may change while the request runs.
    void note(Core::Duration, double cost);

    /// Returns true once there are enough samples.
    bool isKnown() const;

    /// Returns the highest expected cost at which a request finishes within the time; 0 while there are too few
    /// samples.
    double maxCostWithin(Core::Duration) const;

    /// Returns the time at expected cost 1; 0 while there is no sample.
    Core::Duration typical() const;

private:
    double m_microseconds { 0 };
    unsigned m_samples { 0 };
};

}
