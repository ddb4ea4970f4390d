#pragma once

#include <LibCore/Time.h>

namespace Comfreysail::Overload {

/// Estimates the work of a route's requests from the times of its responses. Some requests of a route may take several
/// times as long as the others; they move the mean by far more than their part, so the estimate holds both kinds apart.
class WorkEstimate {
public:
    /// Adds a sample. `cost` is the cost that placement expected, see Traffic::expectedCost(). Samples without a cost
    /// or with a high one are ignored, since the slowness of a target may change while the request runs.
    void note(Core::Duration, double cost);

    bool isKnown() const;
    /// Time of the usual request; 0 while there is no sample.
    Core::Duration typical() const;
    /// Mean time over both kinds.
    Core::Duration expected() const;
    /// Part of the requests that take several times as long as the usual one.
    double longPart() const { return m_longPart; }

private:
    double m_typical { 0 }; ///< Microseconds.
    double m_long { 0 };    ///< Microseconds; mean of the long ones.
    double m_longPart { 0 };
    unsigned m_samples { 0 };
};

}
