#include <LibTraffic/MoveJudge.h>

#include <algorithm>
#include <cmath>

namespace Comfreysail::Traffic {

using Core::Duration;

namespace {

double fractionOf(uint64_t count, uint64_t total)
{
    return total == 0 ? 0 : static_cast<double>(count) / static_cast<double>(total);
}

/// Returns by how many standard deviations the first rate exceeds the second, assuming that both have the same
/// probability (z-score of a two-proportion test).
double zScore(uint64_t first, uint64_t firstTotal, uint64_t second, uint64_t secondTotal)
{
    if (firstTotal == 0 || secondTotal == 0)
        return 0;
    auto const sizes = 1.0 / static_cast<double>(firstTotal) + 1.0 / static_cast<double>(secondTotal);
    // One added success and one added failure keep the estimated probability away from 0 and 1.
    auto const chance = (static_cast<double>(first + second) + 1) / (static_cast<double>(firstTotal + secondTotal) + 2);
    return (fractionOf(first, firstTotal) - fractionOf(second, secondTotal)) / std::sqrt(chance * (1 - chance) * sizes);
}

Duration trialDuration(VersionMove const& move, MoveOptions const& options)
{
    auto const wanted = std::chrono::duration_cast<Duration>(move.duration * options.trialFraction);
    return std::max(Duration {}, std::min(wanted, move.duration - options.drainTime - options.drainTime / 2));
}

}

VersionEvidence operator+(VersionEvidence const& left, VersionEvidence const& right)
{
    return { left.requests + right.requests, left.failures + right.failures, left.slow + right.slow };
}

bool isNewVersionBad(
    VersionEvidence const& newVersion, VersionEvidence const& oldVersion, bool isTrial, MoveOptions const& options)
{
    auto const failureExcess
        = fractionOf(newVersion.failures, newVersion.requests) - fractionOf(oldVersion.failures, oldVersion.requests);
    bool const fails = newVersion.failures >= options.failuresForVerdict
        && failureExcess >= options.failureShareForVerdict
        && zScore(newVersion.failures, newVersion.requests, oldVersion.failures, oldVersion.requests)
            >= options.significance;
    if (fails)
        return true;
    auto const slowExcess
        = fractionOf(newVersion.slow, newVersion.requests) - fractionOf(oldVersion.slow, oldVersion.requests);
    auto const neededExcess = isTrial ? options.slowShareExcess : options.slowShareExcessAfterTrial;
    return newVersion.slow >= options.slowForVerdict && slowExcess >= neededExcess
        && zScore(newVersion.slow, newVersion.requests, oldVersion.slow, oldVersion.requests) >= options.significance;
}

bool isTrial(VersionMove const& move, Duration since, MoveOptions const& options)
{
    return since < trialDuration(move, options);
}

double shareOfNewVersion(
    VersionMove const& move, Duration since, uint64_t sent, size_t daemons, MoveOptions const& options)
{
    if (!isTrial(move, since, options))
        return 1;
    auto const initialRequests
        = daemons == 0 ? 0 : std::floor(options.initialTrialRequests / static_cast<double>(daemons));
    return static_cast<double>(sent) < initialRequests ? options.initialTrialShare : options.trialShare;
}

bool isFinished(VersionMove const& move, Duration since, MoveOptions const& options)
{
    return since >= trialDuration(move, options) + options.drainTime;
}

}
