#include <LibRouting/TargetGroup.h>
#include <algorithm>

namespace Comfreysail::Routing {

namespace {

// A target that is this many times slower than typical is suspect. It keeps one request in flight, which shows when it
// has recovered.
constexpr double suspectSlowness = 3;

// A smaller slowness is within the noise of exponential service times and does not influence the choice.
constexpr double minRelevantSlowness = 1.8;

// How long observations of other daemons' responses are used.
constexpr Core::Duration observationValidity = std::chrono::seconds(10);

}

TargetGroup::TargetGroup(GroupKey key, std::vector<Target> const& targets, GroupOptions options, Core::Instant now)
    : m_key(std::move(key))
    , m_options(options)
    , m_homeSince(now)
    , m_generator(options.seed)
{
    for (auto const& target : targets)
        m_targets.try_emplace(target.name, target, WarmUpState::Unknown, now);
}

bool TargetGroup::isUsable(TargetRecord const& record) const
{
    return m_isZoneInService && !record.isDraining() && !record.isRemoved() && !record.isExclusive();
}

bool TargetGroup::isInColdHold(Core::Instant now) const
{
    return m_options.mode == DispatchMode::Home && now < m_homeSince + m_options.coldHold;
}

std::vector<TargetGroup::Assessment> TargetGroup::assess(Core::Instant now) const
{
    std::vector<Assessment> assessments;
    assessments.reserve(m_targets.size());
    bool hasWarm = false;
    bool hasUnknown = false;
    for (auto& [name, record] : m_targets) {
        if (!isUsable(record))
            continue;
        assessments.push_back({ &record });
        hasWarm = hasWarm || record.warmUpState() == WarmUpState::Warm;
        hasUnknown = hasUnknown || record.warmUpState() == WarmUpState::Unknown;
    }
    markSuspects(assessments, now);
    for (auto& assessment : assessments)
        assessment.limit = limitOf(assessment, hasWarm, hasUnknown, now);
    return assessments;
}

void TargetGroup::markSuspects(std::vector<Assessment>& assessments, Core::Instant now) const
{
    double failureSum = 0;
    for (auto const& assessment : assessments)
        failureSum += assessment.record->failures().rate();

    size_t suspects = 0;
    for (auto& assessment : assessments) {
        auto const& record = *assessment.record;
        auto const rate = record.failures().rate();
        auto const others
            = assessments.size() > 1 ? (failureSum - rate) / static_cast<double>(assessments.size() - 1) : rate;
        assessment.slowness = record.slowness(m_serviceTimes, now);
        assessment.isSlow = assessment.slowness >= suspectSlowness;
        assessment.isFailing = record.failures().isFailing(others);
        assessment.isSuspect = assessment.isSlow || assessment.isFailing || record.reportsDraining(now);
        suspects += assessment.isSuspect ? 1 : 0;
    }

    // At least half of the usable targets keep their full limits. If more are suspect, the cause is the load or the
    // requests, and avoiding targets would overload the rest.
    if (2 * suspects <= assessments.size())
        return;
    for (auto& assessment : assessments) {
        assessment.isSlow = false;
        assessment.isFailing = false;
        assessment.isSuspect = false;
    }
}

unsigned TargetGroup::limitOf(Assessment const& assessment, bool hasWarm, bool hasUnknown, Core::Instant now) const
{
    auto const& record = *assessment.record;
    if (assessment.isFailing)
        return record.failures().mayTest(now) ? 1 : 0;
    if (assessment.isSuspect && !assessment.isSlow)
        return 0;

    bool const isHome = m_options.mode == DispatchMode::Home;
    if (record.warmUpState() == WarmUpState::Warm) {
        if (assessment.isSlow)
            return 1;
        // Requests of the previous home may still be in flight.
        return isInColdHold(now) ? record.target().slots : record.fullLimit();
    }
    if (isHome && !isInColdHold(now))
        return assessment.isSlow ? 1 : record.coldLimit();
    if (hasWarm)
        return 0;
    if (record.warmUpState() == WarmUpState::Unknown)
        return 1;
    // A home does not use cold targets during the hold, because the previous home may still be sending to them. A
    // fallback daemon uses them only if it has no other targets.
    return isHome || hasUnknown ? 0 : 1;
}

TargetGroup::Assessment const* TargetGroup::pickShortestQueue(
    std::vector<Assessment> const& candidates, uint8_t costClass)
{
    Assessment const* best = nullptr;
    double bestCost = 0;
    unsigned ties = 0;
    for (auto const& candidate : candidates) {
        auto const& record = *candidate.record;
        auto const slowness = candidate.slowness < minRelevantSlowness ? 1 : candidate.slowness;
        auto const cost = slowness * (record.expectedWork(costClass, m_serviceTimes) + 1) / record.target().slots;
        if (!best || cost < bestCost) {
            best = &candidate;
            bestCost = cost;
            ties = 1;
        } else if (cost == bestCost && m_generator() % ++ties == 0) {
            best = &candidate;
        }
    }
    return best;
}

TargetGroup::Assessment const* TargetGroup::pickPowerOfTwo(std::vector<Assessment> const& candidates)
{
    if (candidates.size() < 2)
        return candidates.empty() ? nullptr : &candidates.front();
    auto const first = m_generator() % candidates.size();
    auto second = m_generator() % (candidates.size() - 1);
    second += second >= first ? 1 : 0;
    auto const& left = candidates[first];
    auto const& right = candidates[second];
    auto const leftCost = uint64_t { left.record->inFlight() } * right.record->target().slots;
    auto const rightCost = uint64_t { right.record->inFlight() } * left.record->target().slots;
    return leftCost <= rightCost ? &left : &right;
}

Core::Result<Pick> TargetGroup::pick(PickRequest const& request, Core::Instant now)
{
    auto const costClass = std::min<uint8_t>(request.costClass, costClassCount - 1);
    auto candidates = assess(now);
    std::erase_if(candidates, [&](Assessment const& candidate) {
        auto const& record = *candidate.record;
        auto const& excluded = request.excludedTargets;
        return candidate.room() == 0 || record.isOccupiedByLongRequests(costClass, m_serviceTimes)
            || (request.suspect && record.inFlight() > 0)
            || (!request.version.empty() && record.target().version != request.version)
            || std::find(excluded.begin(), excluded.end(), record.target().name) != excluded.end();
    });

    Assessment const* best = nullptr;
    if (m_options.mode == DispatchMode::Home) {
        best = pickShortestQueue(candidates, costClass);
    } else {
        bool const hasHealthy = std::any_of(
            candidates.begin(), candidates.end(), [](Assessment const& candidate) { return !candidate.isSuspect; });
        if (hasHealthy)
            std::erase_if(candidates, [](Assessment const& candidate) { return candidate.isSuspect; });
        best = pickPowerOfTwo(candidates);
    }
    if (!best)
        return Core::Error { Core::ErrorKind::NoTargetAvailable,
            "no target of service " + m_key.service + " in " + m_key.availabilityZone + " has room" };

    auto& record = *best->record;
    record.noteSent(costClass, m_serviceTimes, now);
    if (request.suspect)
        record.setExclusive();
    return Pick { record.target().name, record.connectFresh() };
}

void TargetGroup::noteFinished(
    std::string const& target, SendOutcome outcome, Core::Instant sentAt, LoadHint hint, Core::Instant now)
{
    auto const entry = m_targets.find(target);
    if (entry == m_targets.end())
        return;
    auto& record = entry->second;
    record.noteFinished(outcome, sentAt, hint, m_serviceTimes, now);
    // Several fallback daemons share a target, so each of them sees too few responses to warm it up by itself.
    if (m_options.mode == DispatchMode::Fallback && outcome == SendOutcome::Answered
        && hint.state == TargetState::Serving)
        record.becomeWarm();
    if (record.isRemoved() && record.inFlight() == 0)
        m_targets.erase(entry);
}

void TargetGroup::replaceTargets(std::vector<Target> targets, Core::Instant now)
{
    for (auto& [name, record] : m_targets)
        record.setRemoved(true);
    for (auto& target : targets) {
        auto const name = target.name;
        auto const [entry, isNew] = m_targets.try_emplace(name, target, WarmUpState::Cold, now);
        auto& record = entry->second;
        record.setRemoved(false);
        if (!isNew && record.target() != target)
            record.replaceTarget(std::move(target));
    }
    std::erase_if(
        m_targets, [](auto const& entry) { return entry.second.isRemoved() && entry.second.inFlight() == 0; });
}

std::vector<Target> TargetGroup::targets() const
{
    std::vector<Target> targets;
    for (auto const& [name, record] : m_targets) {
        if (!record.isRemoved())
            targets.push_back(record.target());
    }
    return targets;
}

void TargetGroup::markDraining(std::string const& target, Core::Instant)
{
    auto const entry = m_targets.find(target);
    if (entry != m_targets.end())
        entry->second.setDraining();
}

void TargetGroup::setAvailabilityZoneInService(bool isInService, Core::Instant)
{
    if (isInService && !m_isZoneInService) {
        for (auto& [name, record] : m_targets)
            record.becomeCold();
    }
    m_isZoneInService = isInService;
}

void TargetGroup::setMode(DispatchMode mode, Core::Instant now)
{
    if (mode == m_options.mode)
        return;
    m_options.mode = mode;
    if (mode == DispatchMode::Home)
        m_homeSince = now;
    for (auto& [name, record] : m_targets)
        record.forgetWarmthBefore(now - observationValidity);
}

void TargetGroup::observe(std::string const& target, TargetState state, Core::Instant now)
{
    auto const entry = m_targets.find(target);
    // The home has better information from its own sends.
    if (entry != m_targets.end() && m_options.mode == DispatchMode::Fallback)
        entry->second.observe(state, now);
}

std::optional<TargetState> TargetGroup::stateOf(std::string const& target, Core::Instant now) const
{
    auto const entry = m_targets.find(target);
    if (entry == m_targets.end() || entry->second.warmUpState() == WarmUpState::Unknown)
        return std::nullopt;
    auto const& record = entry->second;
    if (record.isDraining() || record.reportsDraining(now))
        return TargetState::Draining;
    return record.warmUpState() == WarmUpState::Cold ? TargetState::Cold : TargetState::Serving;
}

bool TargetGroup::isSuspect(std::string const& target, Core::Instant now) const
{
    auto const assessments = assess(now);
    return std::any_of(assessments.begin(), assessments.end(), [&](Assessment const& assessment) {
        return assessment.isSuspect && assessment.record->target().name == target;
    });
}

unsigned TargetGroup::freeCapacity(Core::Instant now) const
{
    unsigned room = 0;
    for (auto const& assessment : assess(now))
        room += assessment.room();
    return room;
}

GroupLoad TargetGroup::load(Core::Instant now) const
{
    GroupLoad load;
    for (auto const& [name, record] : m_targets)
        load.inFlight += record.inFlight();
    for (auto const& assessment : assess(now))
        load.slots += std::min(assessment.limit, assessment.record->target().slots);
    return load;
}

}
