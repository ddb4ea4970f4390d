#include <LibTraffic/MoveJudge.h>

#include <algorithm>

namespace Comfreysail::Traffic {

using Core::Duration;

namespace {

double partOf(uint64_t count, uint64_t total)
{
    return total == 0 ? 0 : static_cast<double>(count) / static_cast<double>(total);
}

Duration trialTime(VersionMove const& move, MoveOptions const& options)
{
    auto const wanted = std::chrono::duration_cast<Duration>(move.duration * options.trialPart);
    return std::max(Duration {}, std::min(wanted, move.duration - options.settleTime - options.settleTime / 2));
}

}

VersionEvidence operator+(VersionEvidence const& left, VersionEvidence const& right)
{
    return { left.requests + right.requests, left.failures + right.failures, left.slow + right.slow };
}

bool isBad(VersionEvidence const& newVersion, VersionEvidence const& oldVersion, MoveOptions const& options)
{
    auto const failureExcess
        = partOf(newVersion.failures, newVersion.requests) - partOf(oldVersion.failures, oldVersion.requests);
    if (newVersion.failures >= options.failuresForVerdict && failureExcess >= options.failureShareForVerdict)
        return true;
    auto const slowExcess = partOf(newVersion.slow, newVersion.requests) - partOf(oldVersion.slow, oldVersion.requests);
    return newVersion.slow >= options.slowForVerdict && slowExcess >= options.slowShareExcess;
}

double shareOfNewVersion(VersionMove const& move, Duration since, MoveOptions const& options)
{
    return since < trialTime(move, options) ? options.trialShare : 1;
}

bool isFinished(VersionMove const& move, Duration since, MoveOptions const& options)
{
    return since >= trialTime(move, options) + options.settleTime;
}

}
