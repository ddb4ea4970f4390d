#include <LibCore/Hash.h>
#include <Replay/Simulation.h>
#include <algorithm>

namespace Comfreysail::RoutingReplay {

namespace {

// Each daemon adopts a settings change at a different time within a second.
constexpr uint64_t settingsDelayMicroseconds = 1'000'000;

Core::Duration quantile(std::vector<Core::Duration>& values, double share)
{
    if (values.empty())
        return Core::Duration::zero();
    auto const position = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<size_t>(position)];
}

}

Simulation::Simulation(Trace const& trace, Scenario scenario, Policy& policy)
    : m_scenario(std::move(scenario))
    , m_policy(policy)
{
    prepareRequests(trace);
    scheduleFaults(trace);
}

void Simulation::prepareRequests(Trace const& trace)
{
    auto const capacity = static_cast<double>(targetCount * slotsPerTarget) / static_cast<double>(meanWork.count());
    auto const meanGap = 1 / (capacity * m_scenario.load);
    double time = 0;
    m_requests.reserve(trace.requests.size() * m_scenario.repetitions);
    for (size_t repetition = 0; repetition < m_scenario.repetitions; ++repetition) {
        for (auto const& request : trace.requests) {
            time += request.gap * meanGap / 4096;
            m_requests.push_back(
                { Core::Instant(Core::Duration(static_cast<int64_t>(time))), Core::Duration(request.work * 2),
                    static_cast<uint8_t>((request.daemon + repetition) % daemonCount), request.department });
            if (request.department == 0)
                addNoise(trace, m_requests.size() - 1, meanGap * departmentCount);
        }
    }
    std::stable_sort(m_requests.begin(), m_requests.end(),
        [](Request const& left, Request const& right) { return left.arrival < right.arrival; });
    m_latencies.reserve(m_requests.size());
}

void Simulation::addNoise(Trace const& trace, size_t original, double meanGapOfDepartment)
{
    for (unsigned copy = 1; copy < m_scenario.noisyFactor; ++copy) {
        // The work and the daemon are taken from other requests of the trace, so that the copies differ.
        auto const& model = trace.requests[(original + size_t { copy } * 7919) % trace.requests.size()];
        auto const delay = static_cast<int64_t>(meanGapOfDepartment * copy / m_scenario.noisyFactor);
        m_requests.push_back(
            { m_requests[original].arrival + Core::Duration(delay), Core::Duration(model.work * 2), model.daemon, 0 });
    }
}

void Simulation::scheduleFaults(Trace const& trace)
{
    if (m_scenario.hasSlowPhases) {
        for (auto const& phase : trace.slowPhases) {
            auto const change = [this, target = phase.target](bool isSlow) {
                m_targets[target].setSlow(isSlow, m_now);
                scheduleEnd(target);
            };
            schedule(phase.start, [change] { change(true); });
            schedule(phase.start + phase.length, [change] { change(false); });
        }
    }
    if (m_scenario.coldAgain) {
        schedule(*m_scenario.coldAgain, [this] {
            m_targets[0].becomeCold(m_now);
            scheduleEnd(0);
        });
    }
    if (m_scenario.zoneOut) {
        auto const [leaves, returns] = *m_scenario.zoneOut;
        size_t const zone = 1;
        scheduleZoneChange(leaves, zone, false);
        schedule(returns, [this] {
            for (size_t target = 0; target < targetCount; ++target) {
                if (zoneOfTarget(target) == zone)
                    m_targets[target].becomeCold(m_now);
            }
        });
        scheduleZoneChange(returns, zone, true);
    }
}

void Simulation::scheduleZoneChange(Core::Duration at, size_t zone, bool isIn)
{
    for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
        auto const delay = Core::combineHashes(daemon, zone) % settingsDelayMicroseconds;
        schedule(at + Core::Duration(delay),
            [this, daemon, zone, isIn] { timed([&] { m_policy.zoneChanged(*this, daemon, zone, isIn); }); });
    }
}

void Simulation::after(Core::Duration delay, std::function<void()> action)
{
    schedule(delay, [this, action = std::move(action)] { timed(action); });
}

void Simulation::schedule(Core::Duration delay, std::function<void()> action)
{
    m_events.push({ m_now + delay, ++m_lastSequence, std::move(action) });
}

void Simulation::scheduleArrival()
{
    if (m_nextArrival == m_requests.size())
        return;
    auto const request = m_nextArrival++;
    schedule(m_requests[request].arrival - m_now, [this, request] {
        ++m_openRequests;
        scheduleArrival();
        timed([&] { m_policy.arrive(*this, request); });
    });
}

void Simulation::send(size_t request, size_t target, Core::Duration delay)
{
    noteDecision(target);
    ++m_assigned[target];
    schedule(delay, [this, request, target] {
        auto const& details = m_requests[request];
        m_targets[target].add(
            { request, static_cast<double>(details.work.count()), details.arrival + requestDeadline }, m_now);
        collectExpired(target);
        scheduleEnd(target);
    });
}

void Simulation::scheduleEnd(size_t target)
{
    auto const generation = ++m_generations[target];
    auto const end = m_targets[target].nextEnd();
    if (end)
        schedule(*end - m_now, [this, target, generation] { collectEnded(target, generation); });
}

void Simulation::collectEnded(size_t target, uint64_t generation)
{
    if (generation != m_generations[target])
        return;
    while (auto const request = m_targets[target].takeEnded(m_now)) {
        --m_assigned[target];
        timed([&] { m_policy.ended(*this, *request, target, false); });
    }
    collectExpired(target);
    scheduleEnd(target);
}

void Simulation::collectExpired(size_t target)
{
    while (auto const request = m_targets[target].takeExpired()) {
        --m_assigned[target];
        timed([&] { m_policy.ended(*this, *request, target, true); });
    }
}

void Simulation::finish(size_t request, Core::Duration delay)
{
    m_latencies.push_back(m_now + delay - m_requests[request].arrival);
    if (m_requests[request].department != 0)
        m_latenciesOfOthers.push_back(m_latencies.back());
    noteDecision(static_cast<uint64_t>(m_latencies.back().count()));
    --m_openRequests;
}

void Simulation::refuse(size_t request)
{
    noteDecision(request);
    ++m_refused;
    m_refusedOfOthers += m_requests[request].department != 0 ? 1 : 0;
    --m_openRequests;
}

void Simulation::noteDecision(uint64_t value) { m_decisions = Core::combineHashes(m_decisions, value); }

Outcome Simulation::run()
{
    m_policy.start(*this);
    scheduleArrival();
    while (!m_events.empty() && isRunning()) {
        // top() gives only const access, so the event is moved out through a const_cast. It is popped before its action
        // schedules others.
        auto event = std::move(const_cast<Event&>(m_events.top()));
        m_events.pop();
        m_now = event.time;
        event.action();
    }
    return summarize();
}

Outcome Simulation::summarize() const
{
    auto latencies = m_latencies;
    auto latenciesOfOthers = m_latenciesOfOthers;
    auto const seconds = std::chrono::duration<double>(m_now.time_since_epoch()).count();
    auto const count = static_cast<double>(m_requests.size());

    Outcome outcome;
    outcome.policy = m_policy.name();
    outcome.scenario = m_scenario.name;
    outcome.load = m_scenario.load;
    outcome.median = quantile(latencies, 0.5);
    outcome.p99 = quantile(latencies, 0.99);
    outcome.p99OfOthers = quantile(latenciesOfOthers, 0.99);
    auto const others = static_cast<double>(latenciesOfOthers.size() + m_refusedOfOthers);
    outcome.refusedShareOfOthers = static_cast<double>(m_refusedOfOthers) / others;
    outcome.p999 = quantile(latencies, 0.999);
    outcome.refusedShare = static_cast<double>(m_refused) / count;
    outcome.measurementBytesPerSecond = static_cast<double>(m_policy.measurementCost().bytesOfBusiestDaemon) / seconds;
    outcome.processorMicrosecondsPerRequest
        = std::chrono::duration<double, std::micro>(m_processorTime).count() / count;
    for (auto const& target : m_targets)
        outcome.mostWhileCold = std::max(outcome.mostWhileCold, target.mostWhileCold());
    outcome.decisions = m_decisions;
    return outcome;
}

}
