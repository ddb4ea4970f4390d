#pragma once

#include <LibCore/Time.h>
#include <Replay/Cluster.h>
#include <Replay/Outcome.h>
#include <Replay/Policy.h>
#include <Replay/Scenario.h>
#include <Replay/SimulatedTarget.h>
#include <Replay/Trace.h>
#include <array>
#include <functional>
#include <queue>
#include <vector>

namespace Comfreysail::RoutingReplay {

/// Replays a trace with one policy as a discrete-event simulation, without sockets or threads.
class Simulation {
public:
    /// The trace must outlive the simulation.
    Simulation(Trace const&, Scenario, Policy&);

    Outcome run();

    Core::Instant now() const { return m_now; }
    size_t daemonOf(size_t request) const { return m_requests[request].daemon; }
    size_t departmentOf(size_t request) const { return m_requests[request].department; }
    Core::Instant arrivalOf(size_t request) const { return m_requests[request].arrival; }
    bool isRunning() const { return m_openRequests > 0 || m_nextArrival < m_requests.size(); }

    /// Runs an action of the policy after a delay. Actions with the same time run in the order in which they were
    /// scheduled.
    void after(Core::Duration, std::function<void()>);

    /// Sends a request to a target, which it reaches after the delay.
    void send(size_t request, size_t target, Core::Duration delay);

    /// Ends a request with an answer, which reaches the caller after the delay.
    void finish(size_t request, Core::Duration delay);
    /// Ends a request with a refusal.
    void refuse(size_t request);

    /// Returns the number of requests sent to a target that have not ended, as of this moment. No daemon of a real
    /// cluster can know it.
    size_t assignedTo(size_t target) const { return m_assigned[target]; }

private:
    struct Event {
        Core::Instant time;
        uint64_t sequence { 0 };
        std::function<void()> action;
    };

    struct IsLater {
        bool operator()(Event const& left, Event const& right) const
        {
            return left.time != right.time ? left.time > right.time : left.sequence > right.sequence;
        }
    };

    struct Request {
        Core::Instant arrival;
        Core::Duration work;
        uint8_t daemon { 0 };
        uint8_t department { 0 };
    };

    /// Runs an action of the policy and adds its duration to the processor time.
    template<typename Action> void timed(Action const& action)
    {
        auto const start = std::chrono::steady_clock::now();
        action();
        m_processorTime += std::chrono::steady_clock::now() - start;
    }

    void schedule(Core::Duration, std::function<void()>);
    void prepareRequests(Trace const&);
    void addNoise(Trace const&, size_t original, double meanGapOfDepartment);
    void scheduleFaults(Trace const&);
    void scheduleArrival();
    void scheduleZoneChange(Core::Duration at, size_t zone, bool isIn);
    void scheduleEnd(size_t target);
    void collectEnded(size_t target, uint64_t generation);
    void collectExpired(size_t target);
    void noteDecision(uint64_t);
    Outcome summarize() const;

    Scenario m_scenario;
    Policy& m_policy;
    std::vector<Request> m_requests;
    size_t m_nextArrival { 0 };
    size_t m_openRequests { 0 };
    size_t m_refused { 0 };
    std::array<SimulatedTarget, targetCount> m_targets;
    std::array<uint64_t, targetCount> m_generations {};
    std::array<size_t, targetCount> m_assigned {};
    std::vector<Core::Duration> m_latencies;
    std::vector<Core::Duration> m_latenciesOfOthers; ///< Of all departments except department 0.
    size_t m_refusedOfOthers { 0 };
    std::priority_queue<Event, std::vector<Event>, IsLater> m_events;
    uint64_t m_lastSequence { 0 };
    uint64_t m_decisions { 0 };
    Core::Instant m_now;
    std::chrono::nanoseconds m_processorTime { 0 };
};

}
