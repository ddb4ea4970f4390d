#pragma once

#include <LibCore/Time.h>
#include <LibRouting/GroupKey.h>
#include <LibRouting/GroupLoad.h>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace Comfreysail::Routing {

/// Decides at the home of a group whether a request is spilled, that is, sent to the home of the same service in
/// another availability zone (a sibling). Requests stay in their own zone while it has capacity, and are spilled only
/// where a slot is expected to become free, so a zone that fails or leaves never overloads the others. A zone that
/// returns has cold targets and therefore reports few slots; its requests come back as the targets warm up.
class SpillSelector {
public:
    explicit SpillSelector(uint64_t seed);

    /// Handles the load of a sibling, from a load report or from the response to a spilled request.
    void noteReport(GroupKey const& sibling, GroupLoad, Core::Instant now);

    /// Removes a sibling that is gone or whose availability zone was taken out of service.
    void removeSibling(GroupKey const&);

    /// Returns the sibling that the request is spilled to, or nullopt if the request stays. Counts the spill; the
    /// caller must call noteSpillFinished() once for every spill.
    std::optional<GroupKey> choose(GroupLoad local, Core::Instant now);

    void noteSpillFinished(GroupKey const& sibling, Core::Instant sentAt);

private:
    struct Sibling {
        GroupLoad load;
        double meanDemand { 0 };
        Core::Instant reportedAt;
        std::vector<Core::Instant> spills; ///< Send times of the spilled requests that have not finished.
    };

    double expectedDemand(Sibling const&, Core::Instant now) const;

    std::map<GroupKey, Sibling> m_siblings;
    std::mt19937_64 m_generator;
};

}
