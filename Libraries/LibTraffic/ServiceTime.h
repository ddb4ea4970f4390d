#pragma once

#include <LibCore/Time.h>

namespace Comfreysail::Traffic {

/// Learns how long a request of a route takes at the expected cost 1, from the times of requests whose cost was known.
class ServiceTime {
public:
    /// `cost` is what placement expected. A high cost says little, because the slowness of a target changes during the
    /// work; such samples are left out.
    void note(Core::Duration, double cost);

    /// The highest expected cost that ends within the time; 0 before anything was learnt.
    double costWithin(Core::Duration) const;

    /// The time at the expected cost 1; 0 before anything was learnt.
    Core::Duration usual() const;

private:
    double m_microseconds { 0 };
    unsigned m_samples { 0 };
};

}
