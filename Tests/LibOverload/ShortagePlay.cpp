#include "ShortagePlay.h"

#include <algorithm>
#include <sstream>

namespace Comfreysail::Tests {

using namespace std::chrono_literals;
using Core::Duration;
using Core::Instant;

namespace {

constexpr auto roundTrip = 16ms;
constexpr auto phase = 150ms;
constexpr auto period = 250ms;
constexpr auto sendDelay = 2ms;
constexpr double slowFactor = 5;
constexpr double longFactor = 7;
constexpr unsigned maxSends = 2;

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

Traffic::TrafficPlan planOf(PlayedLoad const& load)
{
    Traffic::TrafficPlan plan;
    for (auto const& kind : load.kinds) {
        auto& route = plan.routes.emplace_back();
        route.name = kind.name;
        route.priority = kind.rank;
        route.shares = { { "service", 1 } };
    }
    return plan;
}

}

ShortagePlay::ShortagePlay(PlayedLoad load, Overload::OverloadOptions options, unsigned seed)
    : m_load(std::move(load))
    , m_options(options)
    , m_generator(seed)
    , m_ranks(planOf(m_load))
    , m_targets(m_load.targets)
    , m_daemons(m_load.daemons)
    , m_results(m_load.kinds.size())
{
    for (auto& daemon : m_daemons) {
        for (size_t index = 0; index < m_targets.size(); ++index) {
            auto& entry = daemon.entries.emplace_back();
            entry.target.id = std::to_string(index);
            entry.loadMeasuredAt = Instant(-1h);
        }
    }
}

bool ShortagePlay::isBurst() const
{
    return m_events.now() >= Instant(m_load.burstFrom) && m_events.now() < Instant(m_load.burstUntil);
}

void ShortagePlay::play()
{
    m_events.schedule(0ms, [this] { changePhases(); });
    for (size_t kind = 0; kind < m_load.kinds.size(); ++kind)
        m_events.schedule(0ms, [this, kind] { arrive(kind); });
    while (!m_events.isEmpty())
        m_events.runNext();
}

void ShortagePlay::changePhases()
{
    for (size_t index = 0; index < m_targets.size(); ++index) {
        auto& target = m_targets[index];
        target.slowness = uniform() < m_load.slowPart ? slowFactor : 1;
        target.isLost = isBurst() && index < m_load.targetsLostInBurst;
        noteHistory(target);
    }
    if (m_events.now() < Instant(m_load.duration))
        m_events.schedule(phase, [this] { changePhases(); });
}

void ShortagePlay::noteHistory(Target& target)
{
    target.history.emplace_back(
        m_events.now(), Traffic::TargetLoad { target.running, target.waiting, m_load.slots, target.slowness });
    while (target.history.size() > 1 && target.history[1].first <= m_events.now() - m_load.reportDelay)
        target.history.pop_front();
}

void ShortagePlay::arrive(size_t kind)
{
    if (m_events.now() >= Instant(m_load.duration))
        return;
    auto const& load = m_load.kinds[kind];
    auto const rate = load.perSecond * (isBurst() ? load.burst : 1);
    Caller caller;
    caller.kind = kind;
    caller.startedAt = m_events.now();
    caller.deadline = m_events.now() + scaled(load.limit, 0.85 + 0.15 * uniform());
    caller.retriesLeft = load.retries;
    caller.isCounted = isBurst();
    if (caller.isCounted)
        ++m_results[kind].callers;
    auto const gap = m_load.isRegular ? 1 / rate : std::exponential_distribution<double>(rate)(m_generator);
    m_events.schedule(
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)), [this, kind] { arrive(kind); });
    attempt(caller);
}

void ShortagePlay::attempt(Caller const& caller)
{
    Attempt attempt;
    attempt.caller = caller;
    attempt.daemon = std::uniform_int_distribution<size_t>(0, m_daemons.size() - 1)(m_generator);
    attempt.arrivedAt = m_events.now();
    auto& route = m_daemons[attempt.daemon].routes[caller.kind];
    attempt.earlierWait = route.timeouts.note(caller.deadline - m_events.now());
    attempt.draw = uniform();
    m_daemons[attempt.daemon].offered.note(m_load.kinds[caller.kind].rank, route.work.expected(), m_events.now());
    place(attempt);
}

Overload::DecisionInput ShortagePlay::inputOf(Attempt const& attempt)
{
    auto const& kind = m_load.kinds[attempt.caller.kind];
    auto& daemon = m_daemons[attempt.daemon];
    auto& route = daemon.routes[attempt.caller.kind];
    Overload::DecisionInput input;
    input.capacity = daemon.capacity.at(m_events.now(), m_options);
    input.rank = kind.rank;
    input.rankDistance = m_ranks.distance("service", kind.rank);
    input.moreUrgentPart = daemon.offered.moreUrgentPart(kind.rank, m_events.now());
    input.isDepartmentOverShare = daemon.departments.isOverShare(kind.department, m_events.now());
    input.waited = m_events.now() - attempt.arrivedAt;
    input.earlierWait = attempt.earlierWait;
    input.latencyTarget = kind.latencyTarget;
    input.timeLeft = attempt.caller.deadline - m_events.now();
    if (route.work.isKnown()) {
        input.typicalWork = route.work.typical();
        input.expectedWork = route.work.expected();
        input.leastWorkOfRank = input.expectedWork;
    }
    for (auto const& [index, other] : daemon.routes) {
        if (m_load.kinds[index].rank == kind.rank && other.work.isKnown())
            input.leastWorkOfRank = std::min(input.leastWorkOfRank, other.work.expected());
    }
    input.isFirstSend = attempt.sends == 0;
    input.draw = attempt.draw;
    return input;
}

Traffic::PlacementRequest ShortagePlay::placementOf(Attempt const& attempt)
{
    auto const& kind = m_load.kinds[attempt.caller.kind];
    auto& route = m_daemons[attempt.daemon].routes[attempt.caller.kind];
    Traffic::PlacementRequest placement;
    auto const waited = attempt.earlierWait + (m_events.now() - attempt.arrivedAt);
    placement.isLate = Traffic::isLate(waited, route.serviceTimes.typical(), kind.latencyTarget);
    if (!route.serviceTimes.isKnown())
        return placement;
    auto const maxCost = route.serviceTimes.maxCostWithin(kind.latencyTarget - waited);
    placement.maxCostInTime = maxCost;
    if (route.queueing.shouldWait(uniform()))
        placement.maxCostWithWaiting = maxCost;
    return placement;
}

void ShortagePlay::askTarget(Daemon& daemon, size_t index)
{
    auto const& target = m_targets[index];
    auto& entry = daemon.entries[index];
    // A target that is lost does not answer.
    if (target.isLost) {
        entry.load.reset();
        return;
    }
    entry.load = Traffic::TargetLoad { target.running, target.waiting, m_load.slots, target.slowness };
    entry.loadMeasuredAt = m_events.now();
    entry.sentSinceLoad = 0;
    daemon.capacity.note(target.history.front().second, m_events.now() - m_load.reportDelay, m_options);
}

std::optional<Traffic::TargetChoice> ShortagePlay::probeAndChoose(Attempt const& attempt)
{
    auto& daemon = m_daemons[attempt.daemon];
    auto placement = placementOf(attempt);
    Traffic::PlacementOptions options;
    if (m_options.isEnabled) {
        auto const input = inputOf(attempt);
        Overload::limitPlacement(input, m_options, placement, options);
    }
    std::vector<Traffic::DirectoryEntry const*> eligible;
    for (auto const& entry : daemon.entries)
        eligible.push_back(&entry);
    std::vector<std::string> asked;
    std::optional<Traffic::TargetChoice> choice;
    for (unsigned round = 0; round < options.maxRounds; ++round) {
        ++m_rounds;
        for (auto const* entry : Traffic::targetsToProbe(eligible, placement, asked, options, m_generator())) {
            asked.push_back(entry->target.id);
            askTarget(daemon, std::stoul(entry->target.id));
        }
        choice = Traffic::bestTarget(eligible, placement, options, m_events.now());
        if (choice && m_options.isEnabled) {
            auto input = inputOf(attempt);
            input.hasTarget = true;
            if (Overload::decide(input, m_options).action != Overload::Action::Send) {
                choice.reset();
                if (round >= 1)
                    break;
            }
        }
        if (choice && choice->cost <= options.goodEnoughCost)
            break;
    }
    return choice;
}

void ShortagePlay::place(Attempt const& attempt)
{
    // The daemon gives the request up, and the caller gets no response.
    if (m_events.now() >= attempt.caller.deadline)
        return lose(attempt.caller);
    if (auto const choice = probeAndChoose(attempt))
        return send(attempt, std::stoul(choice->target->target.id), choice->cost);
    if (m_options.isEnabled) {
        auto const input = inputOf(attempt);
        auto const decision = Overload::decide(input, m_options);
        if (decision.action == Overload::Action::Wait) {
            m_longestHold = std::max(m_longestHold, input.waited + decision.wait);
            m_events.schedule(decision.wait, [this, attempt] { place(attempt); });
            return;
        }
    }
    refuse(attempt);
}

void ShortagePlay::refuse(Attempt const& attempt)
{
    auto caller = attempt.caller;
    auto& result = m_results[caller.kind];
    if (caller.isCounted) {
        ++result.refusals;
        result.refusalsOfReturning += caller.wasRefused ? 1 : 0;
    }
    auto const input = inputOf(attempt);
    auto const wait = m_options.isEnabled && input.capacity.isShort
        ? Overload::retryAfter(input, m_options, uniform())
        : Traffic::retryAfter({}, caller.deadline - m_events.now(), uniform());
    if (caller.retriesLeft == 0 || m_events.now() + roundTrip + wait >= caller.deadline)
        return lose(caller);
    --caller.retriesLeft;
    caller.wasRefused = true;
    m_events.schedule(roundTrip + wait, [this, caller] {
        m_returnTimes.push_back(m_events.now());
        m_results[caller.kind].returns += caller.isCounted ? 1 : 0;
        this->attempt(caller);
    });
}

void ShortagePlay::lose(Caller const& caller) { m_results[caller.kind].refused += caller.isCounted ? 1 : 0; }

void ShortagePlay::send(Attempt const& attempt, size_t index, double cost)
{
    auto& daemon = m_daemons[attempt.daemon];
    ++daemon.entries[index].sentSinceLoad;
    daemon.departments.noteSent(m_load.kinds[attempt.caller.kind].department, m_events.now());
    auto const periodIndex = static_cast<size_t>(m_events.now().time_since_epoch() / period);
    if (m_sendsByPeriod.size() <= periodIndex)
        m_sendsByPeriod.resize(periodIndex + 1, std::vector<unsigned>(m_load.kinds.size()));
    ++m_sendsByPeriod[periodIndex][attempt.caller.kind];
    m_events.schedule(sendDelay, [this, attempt, index, cost, sentAt = m_events.now()] {
        auto& target = m_targets[index];
        if (target.running < m_load.slots && !target.isLost)
            return start(attempt, index, cost, sentAt, false);
        if (target.waiting < m_load.queue && !target.isLost) {
            ++target.waiting;
            noteHistory(target);
            target.queue.emplace_back(
                [this, attempt, index, cost, sentAt] { start(attempt, index, cost, sentAt, true); });
            return;
        }
        // The target is full and has not begun the request.
        m_daemons[attempt.daemon].departments.noteFinished(
            m_load.kinds[attempt.caller.kind].department, m_events.now());
        auto next = attempt;
        ++next.sends;
        if (next.sends < maxSends)
            place(next);
        else
            refuse(next);
    });
}

void ShortagePlay::start(Attempt const& attempt, size_t index, double cost, Instant sentAt, bool hasWaited)
{
    auto& target = m_targets[index];
    ++target.running;
    noteHistory(target);
    auto factor = target.slowness;
    if (target.running * 5 > m_load.slots * 4)
        factor *= m_load.nearlyFullFactor;
    if (!m_load.isRegular)
        factor *= 0.6 + 0.8 * uniform();
    if (uniform() < m_load.longPart)
        factor *= longFactor;
    m_events.schedule(
        scaled(m_load.kinds[attempt.caller.kind].work, factor), [this, attempt, index, cost, sentAt, hasWaited] {
            auto& target = m_targets[index];
            --target.running;
            if (!target.queue.empty()) {
                auto const next = std::move(target.queue.front());
                target.queue.pop_front();
                --target.waiting;
                next();
            }
            noteHistory(target);
            end(attempt, cost, sentAt, hasWaited);
        });
}

void ShortagePlay::end(Attempt const& attempt, double cost, Instant sentAt, bool hasWaited)
{
    auto const& kind = m_load.kinds[attempt.caller.kind];
    auto& daemon = m_daemons[attempt.daemon];
    daemon.departments.noteFinished(kind.department, m_events.now());
    if (m_events.now() >= attempt.caller.deadline || m_events.now() >= attempt.arrivedAt + kind.timeout)
        return lose(attempt.caller);
    auto& route = daemon.routes[attempt.caller.kind];
    route.serviceTimes.note(m_events.now() - sentAt, cost);
    route.work.note(m_events.now() - sentAt, cost);
    if (hasWaited)
        route.queueing.note(m_events.now() - attempt.arrivedAt <= kind.latencyTarget);
    if (!attempt.caller.isCounted)
        return;
    auto& result = m_results[attempt.caller.kind];
    ++(m_events.now() - attempt.caller.startedAt <= kind.latencyTarget ? result.onTime : result.late);
}

double ShortagePlay::credit() const
{
    double earned = 0;
    double all = 0;
    for (size_t index = 0; index < m_results.size(); ++index) {
        auto const& kind = m_load.kinds[index];
        auto const& result = m_results[index];
        earned += result.onTime * kind.worth + result.late * kind.worthIfLate;
        all += result.callers * kind.worth;
    }
    return earned / all;
}

double ShortagePlay::servedPart() const
{
    double served = 0;
    double callers = 0;
    for (auto const& result : m_results) {
        served += result.onTime + result.late;
        callers += result.callers;
    }
    return served / callers;
}

std::string ShortagePlay::text() const
{
    std::ostringstream text;
    for (size_t index = 0; index < m_results.size(); ++index) {
        auto const& result = m_results[index];
        text << m_load.kinds[index].name << ": callers " << result.callers << ", on time " << result.onTimePart()
             << ", served " << result.servedPart() << ", late " << result.late << ", refused " << result.refused
             << ", refusals " << result.refusals << ", of returning " << result.refusalsOfReturning << ", returns "
             << result.returns << "\n";
    }
    text << "credit " << credit();
    return text.str();
}

}
