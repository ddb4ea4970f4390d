#include <LibCore/Hash.h>
#include <Replay/HomePolicy.h>
#include <Replay/Simulation.h>
#include <algorithm>

namespace Comfreysail::RoutingReplay {

namespace {

constexpr Core::Duration tickInterval = std::chrono::milliseconds(5);

std::string const service = "orders";

}

HomePolicy::HomePolicy(Exchange exchange, uint64_t seed)
    : m_exchange(exchange)
    , m_seed(seed)
{
}

std::string HomePolicy::name() const
{
    return m_exchange == Exchange::Spill ? "homes, spill exchange" : "homes, no exchange";
}

void HomePolicy::createHome(size_t zone, size_t daemon, Core::Instant now)
{
    auto& home = m_homes[zone];
    home.daemon = daemon;
    home.key = { service, zoneName(zone), 0 };
    std::vector<Routing::Target> targets;
    for (size_t target = 0; target < targetCount; ++target) {
        if (zoneOfTarget(target) == zone)
            targets.push_back(simulatedTarget(target));
    }
    auto const seed = Core::combineHashes(m_seed, zone);
    Routing::GroupOptions const options { Routing::DispatchMode::Home, seed, Core::Duration::zero() };
    home.group = std::make_unique<Routing::TargetGroup>(home.key, targets, options, now);
    home.spill = std::make_unique<Routing::SpillSelector>(Core::combineHashes(seed, 1));
    home.reports = std::make_unique<Routing::LoadReportScheduler>(Routing::MeasurementLimits {}, now);
}

void HomePolicy::start(Simulation& simulation)
{
    std::vector<Routing::HomeCandidate> candidates;
    for (size_t daemon = 0; daemon < daemonCount; ++daemon)
        candidates.push_back({ daemonName(daemon), zoneName(zoneOfDaemon(daemon)) });
    for (size_t zone = 0; zone < zoneCount; ++zone) {
        auto const home = Routing::homeOf({ service, zoneName(zone), 0 }, candidates);
        size_t daemon = 0;
        while (daemonName(daemon) != *home)
            ++daemon;
        createHome(zone, daemon, simulation.now());
    }
    for (size_t zone = 0; zone < zoneCount; ++zone) {
        std::vector<std::string> siblings;
        for (size_t other = 0; other < zoneCount; ++other) {
            if (other != zone)
                siblings.push_back(daemonName(m_homes[other].daemon));
        }
        m_homes[zone].reports->setSiblings(m_homes[zone].key, siblings);
        tick(simulation, zone);
    }
}

Routing::GroupLoad HomePolicy::loadOf(Home const& home, Core::Instant now) const
{
    auto load = home.group->load(now);
    load.queued = static_cast<unsigned>(home.queue.queued());
    return load;
}

void HomePolicy::tick(Simulation& simulation, size_t zone)
{
    auto& home = m_homes[zone];
    dispatchQueued(simulation, zone);
    if (m_exchange == Exchange::Spill) {
        home.reports->noteLoad(home.key, loadOf(home, simulation.now()));
        for (auto const& report : home.reports->due(simulation.now()))
            deliver(simulation, zone, report);
    }
    simulation.after(tickInterval, [this, &simulation, zone] { tick(simulation, zone); });
}

void HomePolicy::deliver(Simulation& simulation, size_t from, Routing::LoadReport const& report)
{
    auto bytes = Routing::reportMessageBytes;
    for (auto const& entry : report.entries)
        bytes += entry.size();
    m_homes[from].reportBytes += bytes;
    auto const to = std::find_if(
        m_homes.begin(), m_homes.end(), [&](Home const& home) { return daemonName(home.daemon) == report.daemon; });
    simulation.after(hopBetweenZones, [this, &simulation, &home = *to, from, bytes, report] {
        home.reportBytes += bytes;
        home.reports->noteReceived(daemonName(m_homes[from].daemon), report, simulation.now());
        for (auto const& entry : report.entries) {
            if (!home.zonesOut[from])
                home.spill->noteReport(entry.group, entry.load, simulation.now());
        }
    });
}

size_t HomePolicy::zoneFor(Simulation const& simulation, size_t request) const
{
    auto const daemon = simulation.daemonOf(request);
    auto const& zonesOut = m_zonesOut[daemon];
    auto const own = zoneOfDaemon(daemon);
    if (!zonesOut[own])
        return own;
    std::vector<size_t> zones;
    for (size_t zone = 0; zone < zoneCount; ++zone) {
        if (!zonesOut[zone])
            zones.push_back(zone);
    }
    return zones[Core::combineHashes(request, 0) % zones.size()];
}

void HomePolicy::arrive(Simulation& simulation, size_t request)
{
    auto const daemon = simulation.daemonOf(request);
    auto const zone = zoneFor(simulation, request);
    auto const& home = m_homes[zone];
    auto const hop = daemon == home.daemon ? Core::Duration::zero() : hopBetween(zoneOfDaemon(daemon), zone);
    m_open[request] = { zone, hop, std::nullopt, {}, {}, {} };
    simulation.after(hop, [this, &simulation, request] { receive(simulation, request); });
}

void HomePolicy::receive(Simulation& simulation, size_t request)
{
    auto& open = m_open.at(request);
    auto& home = m_homes[open.home];
    if (!open.spilledBy) {
        if (auto const zone = zoneToSpillTo(simulation, open.home, request)) {
            forwardToHome(simulation, request, *zone);
            return;
        }
    }
    Admission::QueuedRequest const queued { request, departmentName(simulation.departmentOf(request)),
        Admission::RequestClass::Order, 1, simulation.arrivalOf(request) + requestDeadline, !open.spilledBy };
    auto const ticket = home.queue.enqueue(queued, simulation.now());
    if (Core::isError(ticket)) {
        refuse(simulation, request);
        return;
    }
    open.ticket = Core::valueOf(ticket);
    dispatchQueued(simulation, open.home);
}

std::optional<size_t> HomePolicy::zoneToSpillTo(
    Simulation const& simulation, size_t zone, std::optional<size_t> request)
{
    if (m_exchange == Exchange::None)
        return std::nullopt;
    auto& home = m_homes[zone];
    auto load = loadOf(home, simulation.now());
    if (request) {
        auto const department = departmentName(simulation.departmentOf(*request));
        load.queued = static_cast<unsigned>(home.queue.requestsAhead(Admission::RequestClass::Order, department, 1));
    }
    auto const sibling = home.spill->choose(load, simulation.now());
    if (!sibling)
        return std::nullopt;
    size_t other = 0;
    while (m_homes[other].key != *sibling)
        ++other;
    return other;
}

void HomePolicy::spillWaiting(Simulation& simulation, size_t zone)
{
    auto& home = m_homes[zone];
    while (home.queue.hasSpillable()) {
        auto const other = zoneToSpillTo(simulation, zone, std::nullopt);
        if (!other)
            return;
        forwardToHome(simulation, home.queue.takeForSpill(simulation.now())->id, *other);
    }
}

void HomePolicy::forwardToHome(Simulation& simulation, size_t request, size_t zone)
{
    auto& open = m_open.at(request);
    open.spilledBy = open.home;
    open.spilledAt = simulation.now();
    open.returnDelay += hopBetweenZones;
    open.home = zone;
    simulation.after(hopBetweenZones, [this, &simulation, request] { receive(simulation, request); });
}

void HomePolicy::dispatchQueued(Simulation& simulation, size_t zone)
{
    auto& home = m_homes[zone];
    auto const now = simulation.now();
    for (auto const& expired : home.queue.takeRefused(now))
        refuse(simulation, expired.id);
    spillWaiting(simulation, zone);
    for (auto const& admitted : home.queue.dispatch(home.group->freeCapacity(now), now)) {
        Routing::PickRequest const pickRequest { "", true, false, 0, {} };
        auto const pick = home.group->pick(pickRequest, now);
        if (Core::isError(pick)) {
            home.queue.putBack(admitted.ticket, now);
            continue;
        }
        auto const target = targetNumber(Core::valueOf(pick).target);
        m_open.at(admitted.id).sentAt = now;
        simulation.send(admitted.id, target, hopInZone);
    }
}

void HomePolicy::ended(Simulation& simulation, size_t request, size_t target, bool isExpired)
{
    simulation.after(hopInZone,
        [this, &simulation, request, target, isExpired] { noteAnswer(simulation, request, target, isExpired); });
}

void HomePolicy::noteAnswer(Simulation& simulation, size_t request, size_t target, bool isExpired)
{
    auto const open = m_open.at(request);
    auto& home = m_homes[open.home];
    auto const outcome = isExpired ? Routing::SendOutcome::TimedOut : Routing::SendOutcome::Answered;
    home.group->noteFinished(targetName(target), outcome, open.sentAt, {}, simulation.now());
    home.queue.finish(open.ticket, simulation.now());
    if (isExpired) {
        refuse(simulation, request);
    } else {
        simulation.finish(request, open.returnDelay);
        end(simulation, request);
    }
    dispatchQueued(simulation, open.home);
}

void HomePolicy::refuse(Simulation& simulation, size_t request)
{
    simulation.refuse(request);
    end(simulation, request);
}

void HomePolicy::end(Simulation& simulation, size_t request)
{
    auto const open = m_open.at(request);
    m_open.erase(request);
    if (!open.spilledBy)
        return;
    simulation.after(hopBetweenZones,
        [this, open] { m_homes[*open.spilledBy].spill->noteSpillFinished(m_homes[open.home].key, open.spilledAt); });
}

void HomePolicy::zoneChanged(Simulation& simulation, size_t daemon, size_t zone, bool isIn)
{
    m_zonesOut[daemon][zone] = !isIn;
    for (size_t own = 0; own < zoneCount; ++own) {
        auto& home = m_homes[own];
        if (home.daemon != daemon)
            continue;
        home.zonesOut[zone] = !isIn;
        if (own != zone && !isIn)
            home.spill->removeSibling(m_homes[zone].key);
        if (own != zone)
            continue;
        home.group->setAvailabilityZoneInService(isIn, simulation.now());
        if (isIn)
            continue;
        // Requests that are still queued are forwarded to other homes, whose admission queues accept or refuse them.
        while (auto const taken = home.queue.takeForSpill(simulation.now()))
            forwardToHome(simulation, taken->id, zoneFor(simulation, taken->id));
    }
}

MeasurementCost HomePolicy::measurementCost() const
{
    MeasurementCost cost;
    for (auto const& home : m_homes) {
        cost.bytesOfBusiestDaemon = std::max(cost.bytesOfBusiestDaemon, home.reportBytes);
        cost.bytesOfAllDaemons += home.reportBytes;
    }
    return cost;
}

}
