#include <LibOverload/OfferedWork.h>

#include <algorithm>
#include <cmath>

namespace Comfreysail::Overload {

namespace {

// A daemon gets a few requests of a service in a second, so the sums cover several seconds.
constexpr Core::Duration decayTime = std::chrono::seconds(8);
// Assumed while the work of a route is unknown, so that its requests count.
constexpr Core::Duration unknownWork = std::chrono::milliseconds(100);

}

double OfferedWork::at(Sum const& sum, Core::Instant now)
{
    auto const age = std::max(now - sum.updatedAt, Core::Duration {});
    return sum.microseconds * std::exp(-std::chrono::duration<double>(age) / decayTime);
}

void OfferedWork::note(unsigned rank, Core::Duration work, Core::Instant now)
{
    auto& sum = m_ranks[rank];
    sum.microseconds = at(sum, now) + static_cast<double>((work.count() > 0 ? work : unknownWork).count());
    sum.updatedAt = now;
}

double OfferedWork::moreUrgentPart(unsigned rank, Core::Instant now) const
{
    double moreUrgent = 0;
    double all = 0;
    for (auto const& [other, sum] : m_ranks) {
        auto const work = at(sum, now);
        all += work;
        if (other < rank)
            moreUrgent += work;
    }
    return all > 0 ? moreUrgent / all : 1;
}

}
