#include <LibMoves/Share.h>
#include <algorithm>
#include <cmath>

namespace Comfreysail::Moves {

using Core::WallTime;

namespace {

// docs/notes/moves.md explains these values.
constexpr double initialShare = 0.01;
constexpr double routeShare = 0.05; ///< Maximum until each route has enough successes.
constexpr double loadShare = 0.10;  ///< Maximum until there are enough successes under load.
constexpr uint64_t minimumSuccesses = 20;
constexpr uint64_t minimumRouteSuccesses = 30;
constexpr uint64_t minimumLoadedSuccesses = 30;
/// For the first doubling of the share above `loadShare`; each further one needs twice as many.
constexpr uint64_t minimumDoublingSuccesses = 300;
// Fractions of the time from start to finish. The schedule reaches the full share early enough to leave time for a
// verdict. From `unprovenStart` on, the share grows even if there is too little traffic to prove anything.
constexpr double scheduleEnd = 0.8;
constexpr double unprovenStart = 0.3;
constexpr double unprovenEnd = 0.95;

double scheduledShareAt(double progress) { return std::pow(initialShare, std::max(0.0, 1 - progress / scheduleEnd)); }

double unprovenShareAt(double progress)
{
    if (progress < unprovenStart)
        return 0;
    auto const unprovenProgress = (progress - unprovenStart) / (unprovenEnd - unprovenStart);
    return std::pow(routeShare, std::max(0.0, 1 - unprovenProgress));
}

double provenShare(Move const& move, Evidence const& evidence, MoveScope const& scope)
{
    Counters total;
    std::map<std::string, uint64_t> successesByRoute;
    for (auto const& [key, counters] : evidence.sinceStart(move.service, move.to, move.start)) {
        total += counters;
        successesByRoute[key.route] += counters.successes;
    }
    if (total.successes < minimumSuccesses)
        return initialShare;
    auto const isProven = [&](std::string const& route) { return successesByRoute[route] >= minimumRouteSuccesses; };
    if (!std::all_of(scope.routes.begin(), scope.routes.end(), isProven))
        return routeShare;
    if (total.successes < minimumDoublingSuccesses || total.loadedSuccesses < minimumLoadedSuccesses)
        return loadShare;
    auto const doublings = std::floor(std::log2(static_cast<double>(total.successes) / minimumDoublingSuccesses)) + 1;
    return loadShare * std::pow(2, doublings);
}

}

double shareAt(Move const& move, Evidence const& evidence, MoveScope const& scope, WallTime now)
{
    if (move.state == MoveState::TakenBack || evidence.badReason(move.id))
        return 0;
    if (move.state == MoveState::Done)
        return 1;
    auto const time = move.state == MoveState::Paused && move.pausedAt ? std::min(*move.pausedAt, now) : now;
    if (time < move.start)
        return 0;
    if (time >= move.finishBy)
        return 1;
    auto const progress
        = static_cast<double>((time - move.start).count()) / static_cast<double>((move.finishBy - move.start).count());
    // A department that leaves is served in full until the end.
    if (move.kind == MoveKind::Department && move.to.empty())
        return 0;
    if (!move.isJudged())
        return std::min(1.0, progress / scheduleEnd);
    return std::min(
        scheduledShareAt(progress), std::max(provenShare(move, evidence, scope), unprovenShareAt(progress)));
}

unsigned targetLimitAt(double share, unsigned targetCount)
{
    auto const needed = static_cast<unsigned>(std::ceil(std::clamp(share, 0.0, 1.0) * targetCount));
    return std::min(std::max(needed, 3U), targetCount);
}

}
