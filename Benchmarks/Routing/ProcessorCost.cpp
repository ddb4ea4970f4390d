#include "ProcessorCost.h"
#include <LibRouting/Routing.h>
#include <array>
#include <cstdio>
#include <vector>

namespace Comfreysail::RoutingReplay {

namespace {

using Clock = std::chrono::steady_clock;

Core::Instant const start { std::chrono::seconds(100) };

double microsecondsSince(Clock::time_point begin)
{
    return std::chrono::duration<double, std::micro>(Clock::now() - begin).count();
}

/// Measures the processor time of picking a target and of noting the end of the request, with half of the slots in use,
/// in microseconds.
double costOfRequest(Routing::DispatchMode mode, size_t targetCount)
{
    constexpr size_t rounds = 100'000;
    std::vector<Routing::Target> targets;
    for (size_t target = 0; target < targetCount; ++target)
        targets.push_back({ "target-" + std::to_string(target), "127.0.0.1", 80, "pos-hall", "v1", 2 });
    Routing::TargetGroup group({ "orders", "pos-hall", 0 }, targets, { Routing::DispatchMode::Fallback, 1 }, start);
    for (auto const& target : targets)
        group.observe(target.name, Routing::TargetState::Serving, start);
    group.setMode(mode, start - std::chrono::seconds(10));

    std::vector<std::pair<std::string, Core::Instant>> open;
    auto now = start;
    auto const begin = Clock::now();
    for (size_t round = 0; round < rounds; ++round) {
        now += std::chrono::milliseconds(1);
        auto const pick = group.pick({}, now);
        if (!Core::isError(pick))
            open.emplace_back(Core::valueOf(pick).target, now);
        if (open.size() < targetCount)
            continue;
        auto& [target, sentAt] = open[round % open.size()];
        group.noteFinished(target, Routing::SendOutcome::Answered, sentAt, {}, now);
        std::swap(open[round % open.size()], open.back());
        open.pop_back();
    }
    return microsecondsSince(begin) / rounds;
}

/// Measures the processor time of load report scheduling for one second of simulated time, with loads that change at
/// every call, in microseconds.
double costOfReports(size_t groups, size_t siblings)
{
    constexpr size_t seconds = 20;
    constexpr size_t callsPerSecond = 200;
    Routing::LoadReportScheduler scheduler({}, start);
    std::vector<std::string> daemons;
    for (size_t sibling = 0; sibling < siblings; ++sibling)
        daemons.push_back("daemon-" + std::to_string(sibling));
    std::vector<Routing::GroupKey> keys;
    for (size_t group = 0; group < groups; ++group) {
        keys.push_back({ "service-" + std::to_string(group), "pos-hall", 0 });
        scheduler.setSiblings(keys.back(), daemons);
    }
    auto const begin = Clock::now();
    for (size_t call = 0; call < seconds * callsPerSecond; ++call) {
        for (size_t group = 0; group < groups; ++group)
            scheduler.noteLoad(keys[group], { 10, static_cast<unsigned>((call + group) % 2 * 10), 0 });
        scheduler.due(start + call * std::chrono::milliseconds(5));
    }
    return microsecondsSince(begin) / seconds;
}

}

void printProcessorCost()
{
    for (size_t const targets : { 5, 20, 32 }) {
        std::printf("processor time, %2zu targets: %.2f us/request at the home, %.2f us/request in fallback\n", targets,
            costOfRequest(Routing::DispatchMode::Home, targets),
            costOfRequest(Routing::DispatchMode::Fallback, targets));
    }
    std::printf("processor time of report scheduling, all groups flapping: %.0f us/s with 1 group and 3 siblings, "
                "%.0f us/s with 17 groups and 10 siblings\n",
        costOfReports(1, 3), costOfReports(17, 10));
}

}
