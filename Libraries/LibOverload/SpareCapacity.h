#pragma once

#include <LibOverload/CapacityState.h>
#include <LibOverload/OverloadOptions.h>
#include <LibTraffic/TargetLoad.h>

namespace Comfreysail::Overload {

/// Estimates a service's spare capacity from the load reports of sampled targets. All daemons sample the same targets,
/// so their estimates agree without any exchange.
class SpareCapacity {
public:
    /// Adds the report of one target. Reports may arrive in any order.
    void note(Traffic::TargetLoad const&, Core::Instant measuredAt, OverloadOptions const&);

    CapacityState at(Core::Instant now, OverloadOptions const&) const;

private:
    double weightAt(Core::Instant now, OverloadOptions const&) const;
    double shareAt(Core::Instant now, OverloadOptions const&) const;

    double m_reports { 0 };  ///< Sum of the weights of the reports at `m_updatedAt`.
    double m_withRoom { 0 }; ///< The same, of those with a free slot.
    Core::Instant m_updatedAt {};
    bool m_isShort { false };
    Core::Instant m_shortSince {};
};

}
