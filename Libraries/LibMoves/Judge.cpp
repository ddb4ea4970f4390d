#include <LibMoves/Judge.h>
#include <algorithm>
#include <cmath>
#include <functional>
#include <set>

namespace Comfreysail::Moves {

using Core::WallTime;

namespace {

// The test runs several times a second for several routes during the whole move, so the probability of a false positive
// must be very small. Three failures out of three calls are still significant against a rate of one percent.
constexpr double significanceLevel = 1e-5;
constexpr double toleratedFailureRate = 0.01;
constexpr double toleratedRatio = 2; ///< Relative to the old version's failure rate.
constexpr uint64_t minimumFailures = 3;
constexpr uint64_t minimumBaselineCalls = 20; ///< Calls of the old version needed to estimate its failure rate.
constexpr double healthyFailureRate = 0.05;
// In log2: at least twice as slow on average (1.0), and a lower confidence bound of 1.5 times as slow (0.58).
constexpr double minimumSlowdown = 1.0;
constexpr double minimumSlowdownBound = 0.58;
constexpr double slowdownDeviations = 4.5;
constexpr uint64_t minimumTimedCalls = 8;
constexpr double logLatencyScale = 16;

struct Sample {
    std::string route;
    std::string zone;
    uint32_t target { 0 };
    Counters counters;
};

double failureRate(Counters const& counters)
{
    auto const calls = counters.calls();
    return calls == 0 ? 0 : static_cast<double>(counters.failures + counters.lost) / static_cast<double>(calls);
}

/// Returns the probability of at least `failures` failures in `calls` calls that each fail with probability `rate`.
double tailProbability(uint64_t calls, uint64_t failures, double rate)
{
    if (failures == 0 || rate >= 1)
        return 1;
    auto const n = static_cast<double>(calls);
    double sum = 0;
    for (auto k = failures; k <= calls; ++k) {
        auto const x = static_cast<double>(k);
        auto const logTerm = std::lgamma(n + 1) - std::lgamma(x + 1) - std::lgamma(n - x + 1) + x * std::log(rate)
            + (n - x) * std::log1p(-rate);
        auto const term = std::exp(logTerm);
        sum += term;
        if (x > n * rate && term < sum * 1e-6)
            break;
    }
    return std::min(sum, 1.0);
}

struct LatencyDistribution {
    double mean { 0 };
    double variance { 0 };
    double count { 0 };
};

LatencyDistribution latencyDistributionOf(Counters const& counters)
{
    if (counters.timed == 0)
        return {};
    auto const count = static_cast<double>(counters.timed);
    auto const mean = static_cast<double>(counters.logLatencySum) / count / logLatencyScale;
    auto const square = static_cast<double>(counters.logLatencySquareSum) / count / logLatencyScale / logLatencyScale;
    // A few equal samples have a variance of 0, which would count as certainty. The lower limit prevents that.
    return { mean, std::max(square - mean * mean, 0.1), count };
}

/// Counts of the old version on one route: for each zone and in total.
struct Baseline {
    std::map<std::string, Counters> zones;
    Counters all;

    Counters const* zone(std::string const& name) const
    {
        auto const position = zones.find(name);
        return position != zones.end() && position->second.calls() >= minimumBaselineCalls ? &position->second
                                                                                           : nullptr;
    }
    double toleratedRate(std::string const& name) const
    {
        auto const* own = zone(name);
        return std::min(0.95, std::max(toleratedFailureRate, toleratedRatio * failureRate(own ? *own : all)));
    }
    bool isHealthy(std::string const& name, double rate) const
    {
        auto const* own = zone(name);
        return own && failureRate(*own) < rate;
    }
};

using Samples = std::vector<Sample>;

/// Removes the targets with the highest scores: one in ten, but at least one.
Samples withoutWorstTargets(Samples const& samples, unsigned targetCount, double (*score)(Counters const&))
{
    if (targetCount <= 1)
        return samples;
    std::map<uint32_t, Counters> targets;
    for (auto const& sample : samples)
        targets[sample.target] += sample.counters;
    std::vector<std::pair<double, uint32_t>> scores;
    scores.reserve(targets.size());
    for (auto const& [target, counters] : targets)
        scores.emplace_back(score(counters), target);
    std::sort(scores.rbegin(), scores.rend());
    std::set<uint32_t> excluded;
    for (size_t index = 0; index < scores.size() && index < std::max<size_t>(1, targets.size() / 10); ++index)
        excluded.insert(scores[index].second);
    Samples remaining;
    std::copy_if(samples.begin(), samples.end(), std::back_inserter(remaining),
        [&](Sample const& sample) { return !excluded.contains(sample.target); });
    return remaining;
}

/// Time that the compared counts cover.
enum class Window : uint8_t {
    Recent, ///< The last seconds; both versions were called at the same times.
    /// Most calls of the new version are later than those of the old one, so a zone that fails late affects it more.
    SinceStart,
};

using IsHealthy = std::function<bool(std::string const& zone)>;

/// Removes the zone with the highest score, unless the old version is healthy there.
Samples withoutFaultyZone(Samples const& samples, IsHealthy const& isHealthy, double (*score)(Counters const&))
{
    std::map<std::string, Counters> zones;
    for (auto const& sample : samples)
        zones[sample.zone] += sample.counters;
    auto const worst = std::max_element(zones.begin(), zones.end(),
        [&](auto const& left, auto const& right) { return score(left.second) < score(right.second); });
    if (worst == zones.end() || isHealthy(worst->first))
        return samples;
    auto remaining = samples;
    if (zones.size() > 1) {
        std::erase_if(remaining, [&](Sample const& sample) { return sample.zone == worst->first; });
        return remaining;
    }
    // With a single zone and no healthy old version in it, lost connections may be a fault of the zone. Error responses
    // are faults of the version.
    for (auto& sample : remaining)
        sample.counters.lost = 0;
    return remaining;
}

double failuresScore(Counters const& counters) { return static_cast<double>(counters.failures + counters.lost); }
double latencyScore(Counters const& counters) { return latencyDistributionOf(counters).mean; }

std::optional<std::string> findFailures(
    Samples const& samples, Baseline const& baseline, IsHealthy const& isHealthy, unsigned targetCount)
{
    auto const remaining
        = withoutFaultyZone(withoutWorstTargets(samples, targetCount, failuresScore), isHealthy, failuresScore);
    uint64_t calls = 0;
    uint64_t failures = 0;
    double expected = 0;
    for (auto const& sample : remaining) {
        calls += sample.counters.calls();
        failures += sample.counters.failures + sample.counters.lost;
        expected += static_cast<double>(sample.counters.calls()) * baseline.toleratedRate(sample.zone);
    }
    if (failures < minimumFailures
        || tailProbability(calls, failures, expected / static_cast<double>(calls)) >= significanceLevel)
        return {};
    return "failures=" + std::to_string(failures) + " calls=" + std::to_string(calls);
}

/// Compares latencies within each route and zone, since these differ in latency, and averages the differences.
std::optional<std::string> findSlowness(Samples const& samples, std::map<std::string, Baseline> const& baselines,
    IsHealthy const& isHealthy, unsigned targetCount)
{
    auto const remaining
        = withoutFaultyZone(withoutWorstTargets(samples, targetCount, latencyScore), isHealthy, latencyScore);
    std::map<std::pair<std::string, std::string>, Counters> countersByRouteAndZone;
    for (auto const& sample : remaining)
        countersByRouteAndZone[{ sample.route, sample.zone }] += sample.counters;
    double count = 0;
    double difference = 0;
    double variance = 0;
    for (auto const& [routeAndZone, counters] : countersByRouteAndZone) {
        auto const baseline = baselines.find(routeAndZone.first);
        if (baseline == baselines.end())
            continue;
        auto const* own = baseline->second.zone(routeAndZone.second);
        auto const newVersion = latencyDistributionOf(counters);
        auto const oldVersion = latencyDistributionOf(own ? *own : baseline->second.all);
        if (newVersion.count == 0 || oldVersion.count < static_cast<double>(minimumBaselineCalls))
            continue;
        count += newVersion.count;
        difference += newVersion.count * (newVersion.mean - oldVersion.mean);
        variance += newVersion.count * newVersion.count
            * (newVersion.variance / newVersion.count + oldVersion.variance / oldVersion.count);
    }
    if (count < static_cast<double>(minimumTimedCalls))
        return {};
    difference /= count;
    auto const error = std::sqrt(variance) / count;
    if (difference < minimumSlowdown || difference - slowdownDeviations * error < minimumSlowdownBound)
        return {};
    return "slower_times=" + std::to_string(std::exp2(difference)).substr(0, 4);
}

using Baselines = std::map<std::string, Baseline>;

/// Returns the baselines by route name. The empty name stands for all routes together.
Baselines baselinesOf(CountersByKey const& oldVersion)
{
    Baselines baselines { { "", {} } };
    for (auto const& [key, counters] : oldVersion) {
        for (auto const& route : { key.route, std::string() }) {
            baselines[route].zones[key.availabilityZone] += counters;
            baselines[route].all += counters;
        }
    }
    return baselines;
}

std::optional<std::string> findFault(
    CountersByKey const& newVersion, Baselines baselines, Window window, Baseline const& recent, unsigned targetCount)
{
    std::map<std::string, Samples> samplesByRoute;
    for (auto const& [key, counters] : newVersion) {
        samplesByRoute[key.route].push_back({ key.route, key.availabilityZone, key.target, counters });
        samplesByRoute[""].push_back({ key.route, key.availabilityZone, key.target, counters });
    }
    auto const isHealthyNow = [&](std::string const& zone) { return recent.isHealthy(zone, healthyFailureRate); };
    for (auto const& [route, samples] : samplesByRoute) {
        auto const& baseline = baselines[route];
        auto const isHealthy = [&](std::string const& zone) {
            return isHealthyNow(zone) && (window == Window::Recent || baseline.isHealthy(zone, toleratedFailureRate));
        };
        auto fault = findFailures(samples, baseline, isHealthy, targetCount);
        // Failure rates do not show that a zone was slow earlier, so no zone counts as healthy since the start.
        auto const isHealthyInWindow
            = [&](std::string const& zone) { return window == Window::Recent && isHealthyNow(zone); };
        if (!fault)
            fault = findSlowness(samples, baselines, isHealthyInWindow, targetCount);
        if (fault)
            return "route=" + (route.empty() ? "all" : route) + " " + *fault;
    }
    return {};
}

}

Verdict judge(Move const& move, Evidence const& evidence, MoveScope const& scope, WallTime now)
{
    if (auto const reason = evidence.badReason(move.id))
        return { VerdictKind::Bad, *reason };
    if (!move.isJudged() || move.isFinal() || now < move.start)
        return {};
    // The recent window detects faults that began late. The window since the start detects faults that become apparent
    // slowly because there is little traffic.
    auto const recent = baselinesOf(evidence.recent(move.service, move.from, now));
    auto fault = findFault(
        evidence.recent(move.service, move.to, now), recent, Window::Recent, recent.at(""), scope.targetCount);
    if (!fault)
        fault = findFault(evidence.sinceStart(move.service, move.to, move.start),
            baselinesOf(evidence.sinceStart(move.service, move.from, move.start)), Window::SinceStart, recent.at(""),
            scope.targetCount);
    if (!fault)
        return {};
    return { VerdictKind::Bad, "version=" + move.to + " " + *fault };
}

}
