#include <LibOverload/Decide.h>

#include <algorithm>
#include <sstream>

namespace Comfreysail::Overload {

using Core::Duration;

namespace {

bool isReturning(DecisionInput const& input) { return input.earlierWait.count() > 0; }

unsigned distanceOf(DecisionInput const& input) { return input.rankDistance + (input.isDepartmentOverShare ? 1 : 0); }

/// The part of its work by which the request exceeds the shortest one of its rank.
double excessWork(DecisionInput const& input)
{
    if (input.leastWorkOfRank.count() <= 0 || input.expectedWork <= input.leastWorkOfRank)
        return 0;
    return 1 - static_cast<double>(input.leastWorkOfRank.count()) / static_cast<double>(input.expectedWork.count());
}

/// The share at which half of the requests like this one are sent; 0 if all are sent at any share.
double middleShare(DecisionInput const& input, OverloadOptions const& options)
{
    auto const distance = distanceOf(input);
    auto share = options.shareOfLongWork * excessWork(input);
    if (distance == 0)
        return share;
    share += options.shareOfSecondRank + options.shareOfRank * (distance - 1);
    if (isLate(input))
        share += options.shareIfLate;
    if (isReturning(input))
        share -= options.shareIfReturning;
    return std::clamp(share, 0.0, options.maxShare);
}

Reason reasonOf(DecisionInput const& input, OverloadOptions const& options)
{
    auto const share = input.capacity.share;
    if (requiredShare(input, options) > share) {
        auto other = input;
        other.isDepartmentOverShare = false;
        return requiredShare(other, options) > share ? Reason::Rank : Reason::Department;
    }
    return isLate(input) ? Reason::Late : Reason::NoRoom;
}

/// How long the request is held before it is tried again; 0 if it is not held.
Duration holdOf(DecisionInput const& input, Decision const& decision, OverloadOptions const& options)
{
    auto const left = input.latencyTarget / options.maxHoldDivisor - options.holdMargin - input.waited;
    auto const share = input.capacity.share;
    if (!input.isFirstSend || left < options.minHoldStep || share < options.minShareToHold
        || decision.requiredShare - share > options.maxMissingShareToHold)
        return {};
    return std::min(std::max(input.latencyTarget / options.holdStepDivisor, options.minHoldStep), left);
}

}

bool isLate(DecisionInput const& input)
{
    return Traffic::isLate(input.earlierWait + input.waited, input.typicalWork, input.latencyTarget);
}

double requiredShare(DecisionInput const& input, OverloadOptions const& options)
{
    auto const minSentPart = options.minSentPart * (isReturning(input) ? options.sentPartIfReturning : 1);
    if (!input.capacity.isShort || input.draw < minSentPart)
        return 0;
    auto const middle = middleShare(input, options);
    if (middle <= 0)
        return 0;
    return std::max(0.0, middle + options.halfWidthOfRamp * (2 * input.draw - 1));
}

void limitPlacement(DecisionInput const& input, OverloadOptions const& options, Traffic::PlacementRequest& placement,
    Traffic::PlacementOptions& placementOptions)
{
    if (!input.capacity.isShort)
        return;
    placementOptions.minFractionWithRoomIfLate
        = isReturning(input) ? options.roomIfLateAndReturning : options.roomIfLate;
    placementOptions.minFractionWithRoomIfSlow = options.roomIfSlow;
    if (placement.maxCostInTime)
        placement.maxCostInTime = std::min(*placement.maxCostInTime, options.slowFrom);
    placement.leavesCrowdedSlots
        = distanceOf(input) > 0 || isLate(input) || input.capacity.share < options.minShareForCrowdedSlots;
}

Decision decide(DecisionInput const& input, OverloadOptions const& options)
{
    Decision decision;
    decision.requiredShare = requiredShare(input, options);
    auto const minTime = Duration(
        static_cast<Duration::rep>(options.minPartOfWorkLeft * static_cast<double>(input.typicalWork.count())));
    if (input.capacity.isShort && input.timeLeft && *input.timeLeft < minTime) {
        decision.action = Action::Refuse;
        decision.reason = Reason::NoTime;
        return decision;
    }
    if (input.hasTarget && decision.requiredShare <= input.capacity.share)
        return decision;
    decision.reason = reasonOf(input, options);
    decision.wait = input.capacity.isShort ? holdOf(input, decision, options) : Duration {};
    decision.action = decision.wait.count() > 0 ? Action::Wait : Action::Refuse;
    return decision;
}

Duration retryAfter(DecisionInput const& input, OverloadOptions const& options, double uniform)
{
    auto const depth = std::clamp(1 - input.capacity.share / options.ampleAbove, 0.0, 1.0);
    auto const scaled = [](Duration duration, double factor) {
        return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
    };
    auto const shortageLeft = std::clamp(input.capacity.shortFor, options.minShortageLeft, options.maxShortageLeft);
    auto earliest = options.minRetryAfter + scaled(shortageLeft, depth / 2);
    auto latest = earliest + std::max(options.minRetrySpread, scaled(shortageLeft, depth));
    // A caller that can still be on time when it returns is told to return by then.
    auto const slack = input.latencyTarget - input.typicalWork - input.earlierWait - input.waited;
    if (slack > options.minRetryAfter + options.minRetrySpread)
        latest = std::min(latest, slack);
    if (input.timeLeft)
        latest = std::min(latest, std::max(*input.timeLeft, Duration {}) / options.retryAfterDivisor);
    // Where a limit cuts the time off, the callers are still spread: over the second half of what is left, or over
    // more.
    earliest = std::min(earliest, latest - std::max(latest / 2, std::min(options.minRetrySpread, latest * 2 / 3)));
    return earliest + scaled(latest - earliest, uniform);
}

std::string describe(DecisionInput const& input, Decision const& decision)
{
    std::ostringstream text;
    text << "action=" << actionName(decision.action) << " reason=" << reasonName(decision.reason)
         << " rank=" << input.rank << " rank_distance=" << input.rankDistance
         << " department_over_share=" << input.isDepartmentOverShare << " short=" << input.capacity.isShort
         << " short_for_ms=" << Core::toMilliseconds(input.capacity.shortFor) << " share=" << input.capacity.share
         << " required_share=" << decision.requiredShare << " reports=" << input.capacity.reports
         << " late=" << isLate(input) << " earlier_wait_ms=" << Core::toMilliseconds(input.earlierWait)
         << " work_ms=" << Core::toMilliseconds(input.expectedWork)
         << " wait_ms=" << Core::toMilliseconds(decision.wait);
    return text.str();
}

}
