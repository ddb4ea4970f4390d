#include <LibRouting/TargetGroup.h>
#include <algorithm>

namespace Comfreysail::Routing {

TargetGroup::TargetGroup(GroupKey key, std::vector<Target> targets, GroupOptions options, Core::Instant now)
    : m_key(std::move(key))
    , m_options(options)
    , m_homeSince(now)
    , m_generator(options.seed)
{
    replaceTargets(std::move(targets), now);
}

unsigned TargetGroup::roomOf(TargetState const& state, Core::Instant) const
{
    if (!m_zoneIsIn || state.isDraining || state.isRemoved || state.isExclusive)
        return 0;
    auto const limit = 2 * state.target.slots;
    return limit > state.inFlight ? limit - state.inFlight : 0;
}

Core::Result<Pick> TargetGroup::pick(PickRequest const& request, Core::Instant now)
{
    TargetState* best = nullptr;
    unsigned ties = 0;
    for (auto& [name, state] : m_targets) {
        if (roomOf(state, now) == 0 || (request.suspect && state.inFlight > 0))
            continue;
        if (!request.version.empty() && state.target.version != request.version)
            continue;
        auto const& excluded = request.excludedTargets;
        if (std::find(excluded.begin(), excluded.end(), name) != excluded.end())
            continue;
        auto const cost = uint64_t { state.inFlight } * (best ? best->target.slots : 1);
        auto const bestCost = best ? uint64_t { best->inFlight } * state.target.slots : 0;
        if (!best || cost < bestCost) {
            best = &state;
            ties = 1;
        } else if (cost == bestCost && m_generator() % ++ties == 0) {
            best = &state;
        }
    }
    if (!best)
        return Core::Error { Core::ErrorKind::NoTargetAvailable, "no target of " + m_key.service + " has room" };
    ++best->inFlight;
    best->isExclusive = request.suspect;
    return Pick { best->target.name, best->connectFresh };
}

void TargetGroup::noteFinished(std::string const& target, SendOutcome outcome, Core::Instant, LoadHint, Core::Instant)
{
    auto const entry = m_targets.find(target);
    if (entry == m_targets.end())
        return;
    auto& state = entry->second;
    if (state.inFlight > 0)
        --state.inFlight;
    if (state.inFlight == 0)
        state.isExclusive = false;
    if (outcome != SendOutcome::Cancelled)
        state.connectFresh
            = outcome != SendOutcome::Answered && outcome != SendOutcome::ServerError && outcome != SendOutcome::Shed;
    if (state.isRemoved && state.inFlight == 0)
        m_targets.erase(entry);
}

void TargetGroup::replaceTargets(std::vector<Target> targets, Core::Instant)
{
    for (auto& [name, state] : m_targets)
        state.isRemoved = true;
    for (auto& target : targets) {
        auto& state = m_targets[target.name];
        if (state.target != target)
            state = { std::move(target), state.inFlight };
        state.isRemoved = false;
    }
    std::erase_if(m_targets, [](auto const& entry) { return entry.second.isRemoved && entry.second.inFlight == 0; });
}

void TargetGroup::markDraining(std::string const& target, Core::Instant)
{
    auto const entry = m_targets.find(target);
    if (entry != m_targets.end())
        entry->second.isDraining = true;
}

void TargetGroup::setAvailabilityZoneIn(bool isIn, Core::Instant) { m_zoneIsIn = isIn; }

void TargetGroup::setMode(DispatchMode mode, Core::Instant now)
{
    if (mode == DispatchMode::Home && m_options.mode != DispatchMode::Home)
        m_homeSince = now;
    m_options.mode = mode;
}

unsigned TargetGroup::freeCapacity(Core::Instant now) const
{
    unsigned room = 0;
    for (auto const& [name, state] : m_targets)
        room += roomOf(state, now);
    return room;
}

GroupLoad TargetGroup::load(Core::Instant) const
{
    GroupLoad load;
    for (auto const& [name, state] : m_targets) {
        load.inFlight += state.inFlight;
        if (m_zoneIsIn && !state.isDraining && !state.isRemoved)
            load.slots += state.target.slots;
    }
    return load;
}

}
