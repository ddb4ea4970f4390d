#include "Simulation.h"
#include <LibMembership/Overlay.h>
#include <LibMoves/Moves.h>
#include <Shared/DelayedQueue.h>
#include <algorithm>
#include <cmath>
#include <map>
#include <random>

namespace Comfreysail::Benchmarks {

using Core::Duration;
using Core::Instant;
using Core::WallTime;
using namespace Moves;
using namespace std::chrono_literals;

namespace {

constexpr size_t daemonCount = 6;
constexpr unsigned targetCount = 20;
constexpr auto moveTime = 120s;
constexpr Duration step = 10ms;
// Same values as in ControlPlane. The evidence budget is 10 KB/s at 30 bytes for each entry.
constexpr auto flushInterval = 300ms;
constexpr auto judgementInterval = 200ms;
constexpr auto publishInterval = 100ms;
constexpr double entriesPerSecond = 10'240.0 / 30;
constexpr unsigned lostPerMille = 20;
constexpr double backgroundFailures = 0.003;

struct Message {
    size_t to;
    EvidenceDelta delta;
    std::string badReason; ///< Reason of a verdict that the version is bad; empty if the message has evidence instead.
};

struct Daemon {
    Evidence evidence;
    double share { 0 };
};

class Run {
public:
    Run(Scenario const& scenario, uint64_t seed)
        : m_scenario(scenario)
        , m_random(seed)
    {
        m_move.id = "m1";
        m_move.service = "orders";
        m_move.from = "v1";
        m_move.to = "v2";
        m_move.start = wall();
        m_move.finishBy = m_move.start + moveTime;
        for (size_t index = 0; index < daemonCount; ++index) {
            m_daemons.push_back({ Evidence("vm-" + std::to_string(index), seed), 0 });
            m_daemons.back().evidence.watch({ m_move });
        }
    }

    SimulationResult run()
    {
        for (m_elapsed = 0us; m_elapsed <= moveTime; m_elapsed += step) {
            while (m_queue.nextArrival() && *m_queue.nextArrival() <= now())
                receive(m_queue.pop());
            auto const calls = std::poisson_distribution<int>(m_scenario.callsPerSecond * step.count() / 1e6)(m_random);
            for (int call = 0; call < calls; ++call)
                serve();
            for (size_t index = 0; index < daemonCount; ++index)
                work(index);
            if (m_faultVisibleAt && !m_result.detectSeconds && all([](double share) { return share == 0; }))
                m_result.detectSeconds = std::chrono::duration<double>(m_elapsed - *m_faultVisibleAt).count();
        }
        m_result.isOnTime = all([](double share) { return share == 1; });
        m_result.isTakenBack = all([](double share) { return share == 0; });
        m_result.shareOfCalls = static_cast<double>(m_newCalls) / static_cast<double>(std::max<uint64_t>(1, m_calls));
        return m_result;
    }

private:
    WallTime wall() const
    {
        return Core::fromUnixMilliseconds(1'800'000'000'000)
            + std::chrono::duration_cast<std::chrono::milliseconds>(m_elapsed);
    }
    Instant now() const { return Instant(1h) + m_elapsed; }
    double uniform() { return std::uniform_real_distribution<>(0, 1)(m_random); }
    template<typename Condition> bool all(Condition condition) const
    {
        return std::all_of(
            m_daemons.begin(), m_daemons.end(), [&](Daemon const& daemon) { return condition(daemon.share); });
    }
    bool isFaultOn() const { return m_elapsed >= m_scenario.faultFrom * Duration(moveTime); }
    bool isDue(size_t index, Duration interval) const
    {
        // The ticks of the daemons are offset against each other.
        return (m_elapsed + index * 30ms) % interval < step;
    }

    void serve()
    {
        auto const draw = uniform();
        std::string const route = draw < 0.6 ? "lookup" : draw < 0.9 ? "list" : "submit";
        // Two daemons in each zone dispatch to the targets of the zone.
        auto const target = static_cast<unsigned>(m_random() % targetCount);
        auto const zoneOf = [](unsigned number) { return number % 3; };
        auto& daemon = m_daemons[zoneOf(target) + 3 * (m_random() % 2)];
        ++m_calls;
        if (uniform() >= daemon.share) {
            record(daemon, "v1", route, target, zoneOf(target), false, 1.0, false);
            return;
        }
        ++m_newCalls;
        auto const limit = targetLimitAt(daemon.share, targetCount);
        auto const chosen = static_cast<unsigned>(m_random() % limit);
        auto const load = daemon.share * targetCount / limit;
        record(daemon, "v2", route, chosen, zoneOf(chosen), true, load, load > 0.6);
    }

    void record(Daemon& daemon, std::string const& version, std::string const& route, unsigned target, unsigned zone,
        bool isNew, double load, bool isLoaded)
    {
        auto isFailed = uniform() < backgroundFailures;
        auto isSlow = false;
        auto const isAffected = isFaultOn() && uniform() < m_scenario.failureRate;
        switch (m_scenario.fault) {
        case Fault::None:
            break;
        case Fault::Failing:
            isFailed |= isNew && isAffected;
            break;
        case Fault::Slow:
            isSlow = isNew && isAffected;
            break;
        case Fault::FailingUnderLoad:
            isFailed |= isNew && isAffected && load > 0.6;
            break;
        case Fault::OneRoute:
            isFailed |= isNew && isAffected && route == "submit";
            break;
        case Fault::OneTarget:
            isFailed |= isNew && isAffected && target == 1;
            break;
        case Fault::OneZone:
            isFailed |= isAffected && zone == 1;
            break;
        case Fault::ColdStart:
            isSlow = isNew && m_elapsed < 20s;
            break;
        }
        auto const base = route == "lookup" ? 8.0 : 25.0;
        auto const milliseconds = base * std::lognormal_distribution<>(0, 0.5)(m_random) * (isSlow ? 4 : 1);
        daemon.evidence.record(
            { "orders", version, route, "zone-" + std::to_string(zone), version + "-" + std::to_string(target),
                isFailed ? Outcome::Failure : Outcome::Success, Duration(static_cast<int64_t>(milliseconds * 1000)),
                m_scenario.fault == Fault::ColdStart && isSlow, isLoaded },
            wall());
        if (isNew && m_scenario.isBad && (isFailed || isSlow))
            noteFaultEffect(target);
    }

    void noteFaultEffect(unsigned target)
    {
        ++m_faults[target];
        size_t sum = 0;
        size_t most = 0;
        for (auto const& [other, count] : m_faults) {
            sum += count;
            most = std::max(most, count);
        }
        if (!m_faultVisibleAt && sum >= 5 && sum - most >= 2 && isFaultOn())
            m_faultVisibleAt = m_elapsed;
    }

    void work(size_t index)
    {
        auto& daemon = m_daemons[index];
        auto const peers = Membership::overlayPeers(index, daemonCount);
        if (isDue(index, flushInterval)) {
            auto const entries = entriesPerSecond * 0.3 / static_cast<double>(peers.size());
            if (auto delta = daemon.evidence.takeDelta(static_cast<size_t>(entries), wall()); !delta.entries.empty())
                send(index, { 0, std::move(delta), {} });
        }
        if (isDue(index, judgementInterval)) {
            auto const verdict = judge(m_move, daemon.evidence, m_scope, wall());
            if (verdict.kind == VerdictKind::Bad && daemon.evidence.noteBad(m_move.id, verdict.reason))
                send(index, { 0, {}, verdict.reason });
        }
        if (isDue(index, publishInterval)) {
            daemon.share = shareAt(m_move, daemon.evidence, m_scope, wall());
            m_result.shareMax = std::max(m_result.shareMax, daemon.share);
        }
    }

    void send(size_t from, Message message)
    {
        for (auto const peer : Membership::overlayPeers(from, daemonCount)) {
            if (m_random() % 1000 < lostPerMille)
                continue;
            message.to = peer;
            m_queue.push(now() + Duration(1000 + m_random() % 20'000), message);
        }
    }

    void receive(Message const& message)
    {
        auto& daemon = m_daemons[message.to];
        if (message.badReason.empty())
            daemon.evidence.merge(message.delta, wall());
        else if (daemon.evidence.noteBad(m_move.id, message.badReason))
            send(message.to, message);
    }

    Scenario const& m_scenario;
    std::mt19937_64 m_random;
    Move m_move;
    MoveScope m_scope { targetCount, { "lookup", "list", "submit" } };
    std::vector<Daemon> m_daemons;
    DelayedQueue<Message> m_queue;
    Duration m_elapsed { 0 };
    std::map<unsigned, size_t> m_faults;
    std::optional<Duration> m_faultVisibleAt;
    uint64_t m_calls { 0 };
    uint64_t m_newCalls { 0 };
    SimulationResult m_result;
};

}

SimulationResult simulate(Scenario const& scenario, uint64_t seed) { return Run(scenario, seed).run(); }

}
