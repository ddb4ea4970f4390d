#pragma once

#include <LibCore/Time.h>
#include <LibRouting/GroupKey.h>
#include <LibRouting/GroupLoad.h>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace Comfreysail::Routing {

/// Decides at the home of a group whether a request goes to the home of the same service in another availability zone.
/// Requests stay in their own zone while it can bear them, and go only where a slot is expected to be free, so a zone
/// that fails or leaves never overloads the others. A zone that returns has cold targets and therefore reports few
/// slots; its work comes back as these ramp up.
class SpillSelector {
public:
    explicit SpillSelector(uint64_t seed);

    /// A report of a sibling home, or its load carried on the answer to a spilled request.
    void noteReport(GroupKey const& sibling, GroupLoad, Core::Instant now);

    /// The sibling is gone, or its availability zone was taken out of service.
    void removeSibling(GroupKey const&);

    /// The sibling that the request goes to, or nullopt when it stays. Counts the spill; every spill is followed by
    /// one noteSpillFinished().
    std::optional<GroupKey> choose(GroupLoad local, Core::Instant now);

    void noteSpillFinished(GroupKey const& sibling, Core::Instant sentAt);

private:
    struct Sibling {
        GroupLoad load;
        double meanDemand { 0 };
        Core::Instant reportedAt;
        std::vector<Core::Instant> spills; ///< Times at which requests that are still out were sent.
    };

    double expectedDemand(Sibling const&, Core::Instant now) const;

    std::map<GroupKey, Sibling> m_siblings;
    std::mt19937_64 m_generator;
};

}
