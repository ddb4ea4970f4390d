#include <LibCore/Hash.h>
#include <Replay/FallbackPolicy.h>
#include <Replay/Simulation.h>

namespace Comfreysail::RoutingReplay {

FallbackPolicy::FallbackPolicy(uint64_t seed)
    : m_seed(seed)
{
}

std::string FallbackPolicy::name() const { return "fallback of homes"; }

void FallbackPolicy::replaceTargets(size_t daemon, Core::Instant now)
{
    std::vector<Routing::Target> targets;
    for (size_t target = 0; target < targetCount; ++target) {
        if (!m_zoneIsOut[daemon][zoneOfTarget(target)])
            targets.push_back(simulatedTarget(target));
    }
    if (m_groups[daemon]) {
        m_groups[daemon]->replaceTargets(std::move(targets), now);
        return;
    }
    Routing::GroupOptions const options { Routing::DispatchMode::Fallback, Core::combineHashes(m_seed, daemon) };
    m_groups[daemon]
        = std::make_unique<Routing::TargetGroup>(Routing::GroupKey { "orders", "all", 0 }, targets, options, now);
    // Starts in the state of a daemon that has received answers from all targets for some seconds.
    for (auto const& target : targets)
        m_groups[daemon]->observe(target.name, Routing::TargetState::Serving, now);
}

void FallbackPolicy::start(Simulation& simulation)
{
    for (size_t daemon = 0; daemon < daemonCount; ++daemon)
        replaceTargets(daemon, simulation.now());
}

void FallbackPolicy::arrive(Simulation& simulation, size_t request)
{
    auto const daemon = simulation.daemonOf(request);
    Routing::PickRequest const pickRequest { "", true, false, 0, {} };
    auto const pick = m_groups[daemon]->pick(pickRequest, simulation.now());
    if (Core::isError(pick)) {
        simulation.refuse(request);
        return;
    }
    m_sentAt.resize(std::max(m_sentAt.size(), request + 1));
    m_sentAt[request] = simulation.now();
    auto const target = targetNumber(Core::valueOf(pick).target);
    simulation.send(request, target, hopBetween(zoneOfDaemon(daemon), zoneOfTarget(target)));
}

void FallbackPolicy::ended(Simulation& simulation, size_t request, size_t target, bool isExpired)
{
    auto const daemon = simulation.daemonOf(request);
    auto const delay = hopBetween(zoneOfDaemon(daemon), zoneOfTarget(target));
    simulation.after(delay, [this, &simulation, daemon, request, target, isExpired] {
        auto const outcome = isExpired ? Routing::SendOutcome::TimedOut : Routing::SendOutcome::Answered;
        m_groups[daemon]->noteFinished(targetName(target), outcome, m_sentAt[request], {}, simulation.now());
    });
    if (isExpired)
        simulation.refuse(request);
    else
        simulation.finish(request, delay);
}

void FallbackPolicy::zoneChanged(Simulation& simulation, size_t daemon, size_t zone, bool isIn)
{
    m_zoneIsOut[daemon][zone] = !isIn;
    replaceTargets(daemon, simulation.now());
}

}
