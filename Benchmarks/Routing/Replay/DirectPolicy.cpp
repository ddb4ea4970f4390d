#include <LibRouting/LoadReport.h>
#include <Replay/DirectPolicy.h>
#include <Replay/Simulation.h>
#include <algorithm>

namespace Comfreysail::RoutingReplay {

namespace {

constexpr Core::Duration reportInterval = std::chrono::milliseconds(20);

}

DirectPolicy::DirectPolicy(Kind kind, uint64_t seed)
    : m_kind(kind)
    , m_generator(seed)
{
}

std::string DirectPolicy::name() const
{
    switch (m_kind) {
    case Kind::Random:
        return "random";
    case Kind::RoundRobin:
        return "round robin";
    case Kind::PowerOfTwo:
        return "power of two, own counts";
    case Kind::LeastReported:
        return "least loaded by report";
    case Kind::PerfectJoinShortestQueue:
        return "bound: shortest queue, perfect";
    }
    return {};
}

void DirectPolicy::start(Simulation& simulation)
{
    for (size_t daemon = 0; daemon < daemonCount; ++daemon)
        m_daemons[daemon].lastTarget = daemon;
    if (m_kind == Kind::LeastReported)
        report(simulation);
}

void DirectPolicy::report(Simulation& simulation)
{
    for (size_t target = 0; target < targetCount; ++target) {
        auto const count = simulation.assignedTo(target);
        for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
            simulation.after(hopBetween(zoneOfDaemon(daemon), zoneOfTarget(target)),
                [this, target, daemon, count] { m_daemons[daemon].reported[target] = count; });
        }
    }
    ++m_reports;
    simulation.after(reportInterval, [this, &simulation] { report(simulation); });
}

std::vector<size_t> DirectPolicy::usableTargets(DaemonState const& daemon) const
{
    std::vector<size_t> targets;
    targets.reserve(targetCount);
    for (size_t target = 0; target < targetCount; ++target) {
        if (!daemon.zonesOut[zoneOfTarget(target)])
            targets.push_back(target);
    }
    return targets;
}

size_t DirectPolicy::leastBy(size_t daemon, std::array<size_t, targetCount> const& counts)
{
    auto const isRemote
        = [&](size_t target) { return zoneOfTarget(target) != zoneOfDaemon(daemon) ? size_t { 1 } : size_t { 0 }; };
    size_t best = targetCount;
    size_t ties = 0;
    for (auto const target : usableTargets(m_daemons[daemon])) {
        auto const cost = 2 * counts[target] + isRemote(target);
        auto const bestCost = best == targetCount ? 0 : 2 * counts[best] + isRemote(best);
        if (best == targetCount || cost < bestCost) {
            best = target;
            ties = 1;
        } else if (cost == bestCost && m_generator() % ++ties == 0) {
            best = target;
        }
    }
    return best;
}

size_t DirectPolicy::choose(Simulation& simulation, size_t index)
{
    auto& daemon = m_daemons[index];
    auto const targets = usableTargets(daemon);
    switch (m_kind) {
    case Kind::Random:
        return targets[m_generator() % targets.size()];
    case Kind::RoundRobin:
        return targets[++daemon.lastTarget % targets.size()];
    case Kind::PowerOfTwo: {
        auto const first = targets[m_generator() % targets.size()];
        auto const second = targets[m_generator() % targets.size()];
        return daemon.ownInFlight[first] <= daemon.ownInFlight[second] ? first : second;
    }
    case Kind::LeastReported:
        return leastBy(index, daemon.reported);
    case Kind::PerfectJoinShortestQueue: {
        std::array<size_t, targetCount> counts {};
        for (size_t target = 0; target < targetCount; ++target)
            counts[target] = simulation.assignedTo(target);
        return leastBy(index, counts);
    }
    }
    return 0;
}

void DirectPolicy::arrive(Simulation& simulation, size_t request)
{
    auto const index = simulation.daemonOf(request);
    auto const target = choose(simulation, index);
    ++m_daemons[index].ownInFlight[target];
    ++m_daemons[index].reported[target];
    simulation.send(request, target, hopBetween(zoneOfDaemon(index), zoneOfTarget(target)));
}

void DirectPolicy::ended(Simulation& simulation, size_t request, size_t target, bool isExpired)
{
    auto const index = simulation.daemonOf(request);
    auto const delay = hopBetween(zoneOfDaemon(index), zoneOfTarget(target));
    simulation.after(delay, [this, index, target] { --m_daemons[index].ownInFlight[target]; });
    if (isExpired)
        simulation.refuse(request);
    else
        simulation.finish(request, delay);
}

void DirectPolicy::zoneChanged(Simulation&, size_t daemon, size_t zone, bool isIn)
{
    m_daemons[daemon].zonesOut[zone] = !isIn;
}

MeasurementCost DirectPolicy::measurementCost() const
{
    if (m_kind != Kind::LeastReported)
        return {};
    auto const bytes = m_reports * targetCount * (Routing::reportMessageBytes + Routing::reportEntryBytes);
    return { bytes, bytes * daemonCount };
}

}
