#include <LibOverload/SpareCapacity.h>

#include <algorithm>
#include <cmath>

namespace Comfreysail::Overload {

using Core::Duration;
using Core::Instant;

namespace {

// Weight of the assumption that targets have room, which holds while nothing is known.
constexpr double priorReports = 0.5;

double decay(Duration age, OverloadOptions const& options)
{
    return std::exp(-std::chrono::duration<double>(std::max(age, Duration {})) / options.reportDecay);
}

}

void SpareCapacity::note(Traffic::TargetLoad const& load, Instant measuredAt, OverloadOptions const& options)
{
    if (load.slowness >= options.slowFrom)
        return;
    auto const state = at(measuredAt, options);
    auto const factor = decay(measuredAt - m_updatedAt, options);
    // A report older than the newest one counts less, and the sums stay as they are.
    auto const weight = decay(m_updatedAt - measuredAt, options);
    m_reports = m_reports * factor + weight;
    m_withRoom = m_withRoom * factor + (load.running + load.waiting < Traffic::uncrowdedSlots(load.slots) ? weight : 0);
    m_updatedAt = std::max(m_updatedAt, measuredAt);
    if (!state.isShort)
        m_shortSince = m_updatedAt;
    auto const limit = state.isShort ? options.ampleAbove : options.shortBelow;
    m_isShort = m_reports >= options.minReports && shareAt(m_updatedAt, options) < limit;
}

double SpareCapacity::weightAt(Instant now, OverloadOptions const& options) const
{
    return m_reports * decay(now - m_updatedAt, options);
}

double SpareCapacity::shareAt(Instant now, OverloadOptions const& options) const
{
    auto const factor = decay(now - m_updatedAt, options);
    return (m_withRoom * factor + priorReports) / (m_reports * factor + priorReports);
}

CapacityState SpareCapacity::at(Instant now, OverloadOptions const& options) const
{
    CapacityState state { shareAt(now, options), weightAt(now, options) };
    state.isShort = m_isShort && state.reports >= options.minReports / 2 && state.share < options.ampleAbove;
    if (state.isShort)
        state.shortFor = std::max(now - m_shortSince, Duration {});
    return state;
}

}
