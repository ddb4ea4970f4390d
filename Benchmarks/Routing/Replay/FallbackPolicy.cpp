#include <LibCore/Hash.h>
#include <Replay/FallbackPolicy.h>
#include <Replay/Simulation.h>

namespace Comfreysail::RoutingReplay {

FallbackPolicy::FallbackPolicy(uint64_t seed)
    : m_seed(seed)
{
}

std::string FallbackPolicy::name() const { return "fallback of homes"; }

void FallbackPolicy::replaceTargets(size_t decider, Core::Instant now)
{
    std::vector<Routing::Target> targets;
    for (size_t target = 0; target < targetCount; ++target) {
        if (!m_zoneIsOut[decider][zoneOfTarget(target)])
            targets.push_back(simulatedTarget(target));
    }
    if (m_groups[decider]) {
        m_groups[decider]->replaceTargets(std::move(targets), now);
        return;
    }
    Routing::GroupOptions const options { Routing::DispatchMode::Fallback, Core::combineHashes(m_seed, decider) };
    m_groups[decider]
        = std::make_unique<Routing::TargetGroup>(Routing::GroupKey { "orders", "all", 0 }, targets, options, now);
    // Starts in the state of a daemon that has received answers from all targets for some seconds.
    for (auto const& target : targets)
        m_groups[decider]->observe(target.name, Routing::TargetState::Serving, now);
}

void FallbackPolicy::start(Simulation& simulation)
{
    for (size_t decider = 0; decider < deciderCount; ++decider)
        replaceTargets(decider, simulation.now());
}

void FallbackPolicy::arrive(Simulation& simulation, size_t request)
{
    auto const decider = simulation.deciderOf(request);
    Routing::PickRequest const pickRequest { "", true, false, 0, {} };
    auto const pick = m_groups[decider]->pick(pickRequest, simulation.now());
    if (Core::isError(pick)) {
        simulation.refuse(request);
        return;
    }
    m_sentAt.resize(std::max(m_sentAt.size(), request + 1));
    m_sentAt[request] = simulation.now();
    auto const target = targetNumber(Core::valueOf(pick).target);
    simulation.send(request, target, hopBetween(zoneOfDecider(decider), zoneOfTarget(target)));
}

void FallbackPolicy::ended(Simulation& simulation, size_t request, size_t target, bool isGivenUp)
{
    auto const decider = simulation.deciderOf(request);
    auto const delay = hopBetween(zoneOfDecider(decider), zoneOfTarget(target));
    simulation.after(delay, [this, &simulation, decider, request, target, isGivenUp] {
        auto const outcome = isGivenUp ? Routing::SendOutcome::TimedOut : Routing::SendOutcome::Answered;
        m_groups[decider]->noteFinished(targetName(target), outcome, m_sentAt[request], {}, simulation.now());
    });
    if (isGivenUp)
        simulation.refuse(request);
    else
        simulation.finish(request, delay);
}

void FallbackPolicy::zoneChanged(Simulation& simulation, size_t decider, size_t zone, bool isIn)
{
    m_zoneIsOut[decider][zone] = !isIn;
    replaceTargets(decider, simulation.now());
}

}
