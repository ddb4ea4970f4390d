#include "CostTable.h"
#include "ProcessorCost.h"
#include <LibRouting/MeasurementBudget.h>
#include <Replay/DirectPolicy.h>
#include <Replay/FallbackPolicy.h>
#include <Replay/HomePolicy.h>
#include <Replay/Simulation.h>
#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <memory>

using namespace Comfreysail;
using namespace Comfreysail::RoutingReplay;

namespace {

// Seed of the policies' random decisions. The seed of the trace is in Generate/Main.cpp.
constexpr uint64_t policySeed = 7;

using MakePolicy = std::unique_ptr<Policy> (*)();

template<DirectPolicy::Kind kind> std::unique_ptr<Policy> makeDirect()
{
    return std::make_unique<DirectPolicy>(kind, policySeed);
}

template<HomePolicy::Exchange exchange> std::unique_ptr<Policy> makeHome()
{
    return std::make_unique<HomePolicy>(exchange, policySeed);
}

std::unique_ptr<Policy> makeFallback() { return std::make_unique<FallbackPolicy>(policySeed); }

constexpr std::array<MakePolicy, 8> policies {
    makeDirect<DirectPolicy::Kind::Random>,
    makeDirect<DirectPolicy::Kind::RoundRobin>,
    makeDirect<DirectPolicy::Kind::PowerOfTwo>,
    makeDirect<DirectPolicy::Kind::LeastReported>,
    makeDirect<DirectPolicy::Kind::PerfectJoinShortestQueue>,
    makeHome<HomePolicy::Exchange::Spill>,
    makeHome<HomePolicy::Exchange::None>,
    makeFallback,
};
constexpr size_t powerOfTwoIndex = 2;
constexpr size_t boundIndex = 4;
constexpr size_t homesIndex = 5;

std::vector<Scenario> scenarios(size_t repetitions)
{
    using std::chrono::seconds;
    std::vector<Scenario> list;
    for (auto const load : { 0.5, 0.7, 0.85, 0.95 })
        list.push_back({ "slow phases", load, repetitions, true, std::nullopt, std::nullopt });
    for (auto const load : { 0.5, 0.7, 0.85 })
        list.push_back({ "zone out and back", load, 1, false, { { seconds(3), seconds(6) } }, std::nullopt });
    list.push_back({ "cold again", 0.85, 1, false, std::nullopt, seconds(3) });
    for (auto const factor : { 1U, 10U })
        list.push_back(
            { "department 0 x" + std::to_string(factor), 0.7, 1, false, std::nullopt, std::nullopt, factor });
    return list;
}

double milliseconds(Core::Duration duration) { return static_cast<double>(duration.count()) / 1000; }

void print(Outcome const& outcome)
{
    std::printf("%-18s %3.0f%%  %-31s %8.1f %8.1f %8.1f %9.2f%% %12.0f %10.2f %6zu %9.1f %9.2f%%\n",
        outcome.scenario.c_str(), outcome.load * 100, outcome.policy.c_str(), milliseconds(outcome.median),
        milliseconds(outcome.p99), milliseconds(outcome.p999), outcome.refusedShare * 100,
        outcome.measurementBytesPerSecond, outcome.processorMicrosecondsPerRequest, outcome.mostWhileCold,
        milliseconds(outcome.p99OfOthers), outcome.refusedShareOfOthers * 100);
    std::fflush(stdout);
}

}

int main(int argc, char** argv)
{
    namespace Options = boost::program_options;
    std::string folder;
    size_t repetitions = 0;
    std::string onlyScenario;
    std::string onlyPolicy;
    double onlyLoad = 0;
    Options::options_description description("bench-routing");
    description.add_options()("help", "show the options")(
        "trace", Options::value(&folder)->default_value(TRACE_DIRECTORY), "folder of the trace")("repetitions",
        Options::value(&repetitions)->default_value(6),
        "consecutive replays of the trace in the \"slow phases\" scenarios")(
        "scenario", Options::value(&onlyScenario), "run only scenarios whose name contains this text")(
        "policy", Options::value(&onlyPolicy), "run only policies whose name contains this text")(
        "load", Options::value(&onlyLoad), "run only scenarios with this load, such as 0.85");
    Options::variables_map variables;
    try {
        Options::store(Options::parse_command_line(argc, argv, description), variables);
        Options::notify(variables);
    } catch (Options::error const& error) {
        std::cerr << "bench-routing: " << error.what() << '\n' << description;
        return 2;
    }
    if (variables.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    auto const trace = readTrace(folder);
    if (Core::isError(trace)) {
        std::cerr << "bench-routing: " << Core::errorOf(trace).detail << '\n';
        return 1;
    }

    std::printf("%-18s %4s  %-31s %8s %8s %8s %10s %12s %10s %6s %9s %10s\n", "scenario", "load", "policy", "p50 ms",
        "p99 ms", "p99.9 ms", "refused", "bytes/s", "us/request", "cold", "o.p99 ms", "o.refused");
    std::array<Outcome, policies.size()> outcomes;
    for (auto const& scenario : scenarios(repetitions)) {
        if (scenario.name.find(onlyScenario) == std::string::npos || (onlyLoad > 0 && scenario.load != onlyLoad))
            continue;
        for (size_t index = 0; index < policies.size(); ++index) {
            auto const policy = policies[index]();
            if (policy->name().find(onlyPolicy) == std::string::npos)
                continue;
            auto const outcome = Simulation(Core::valueOf(trace), scenario, *policy).run();
            print(outcome);
            if (scenario.hasSlowPhases && scenario.load == 0.85)
                outcomes[index] = outcome;
        }
    }
    if (onlyScenario.empty() && onlyPolicy.empty()) {
        printCostTable();
        printProcessorCost();
    }
    // The summary needs the results of all three compared policies, which a filtered run may lack.
    if (outcomes[homesIndex].policy.empty() || outcomes[boundIndex].policy.empty()
        || outcomes[powerOfTwoIndex].policy.empty())
        return 0;
    auto const homes = milliseconds(outcomes[homesIndex].p99);
    std::printf("p99_over_bound=%.2f p99_over_p2c=%.2f measure_bytes_per_s=%.0f measure_budget=%.0f\n",
        homes / milliseconds(outcomes[boundIndex].p99), homes / milliseconds(outcomes[powerOfTwoIndex].p99),
        outcomes[homesIndex].measurementBytesPerSecond, Routing::loadReportBudget);
    return 0;
}
