#pragma once

#include <LibCore/Time.h>
#include <map>

namespace Comfreysail::Overload {

/// The work that arrived at this daemon for one service in the last seconds, by rank. How much room the more urgent
/// ranks need depends on it.
class OfferedWork {
public:
    /// `work` is the expected time of the request; 0 if it is unknown.
    void note(unsigned rank, Core::Duration work, Core::Instant now);

    /// Returns the part of the work that is more urgent than the rank, from 0 to 1; 1 if nothing is known.
    double moreUrgentPart(unsigned rank, Core::Instant now) const;

private:
    struct Sum {
        double microseconds { 0 };
        Core::Instant updatedAt {};
    };

    static double at(Sum const&, Core::Instant now);

    std::map<unsigned, Sum> m_ranks;
};

}
