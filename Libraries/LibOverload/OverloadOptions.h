#pragma once

#include <LibCore/Time.h>

namespace Comfreysail::Overload {

/// Shares are parts of a service's targets that are not slow at the moment and have a free slot, from 0 to 1.
struct OverloadOptions {
    bool isEnabled { true };

    /// The service is short of capacity from below the first share until above the second. Targets slow down when they
    /// are nearly full, so the shortage begins before all slots are taken.
    double shortBelow { 0.4 };
    double ampleAbove { 0.5 };
    /// A target that takes this multiple of its typical time has no spare capacity, even if a slot is free: work that
    /// begins there ends late. Under shortage a request is sent to it only if `roomIfSlow` of the asked ones have room.
    double slowFrom { 2 };
    /// Time constant with which a load report loses weight. Bursts last some seconds, and a daemon gets some ten
    /// reports of a service in a second.
    Core::Duration reportDecay { std::chrono::milliseconds(600) };
    /// With fewer reports in effect, the capacity is unknown and the service does not count as short.
    double minReports { 2 };

    /// Share at which half of the requests of the most urgent rank but one are sent; each further rank adds
    /// `shareOfRank`. The most urgent rank needs no share.
    double shareOfSecondRank { 0.35 };
    double shareOfRank { 0.15 };
    /// These shares apply in full from this part of more urgent work on, and in proportion below it. In full from 0.1
    /// on, a kind that was 85% of the work of a service left a third of it to the other kind and was on time in 90
    /// instead of 94 of 100. In full from 0.5 on, less urgent requests took the last slots where both kinds had
    /// equal work, as a daemon's estimate of the part varies.
    double fullFromUrgentPart { 0.3 };
    double shareIfLate { 0.15 };
    /// Subtracted for a caller that was refused before.
    double shareIfReturning { 0.25 };
    /// Added for requests with much more work than the shortest one of the same rank.
    double shareOfLongWork { 0.1 };
    /// From this much below that share to this much above it, the part that is sent grows from `minSentPart` to 1. With
    /// a single limit, all daemons would stop and resume sending at the same moment.
    double halfWidthOfRamp { 0.1 };
    /// Part of the requests of any rank that may take the last free slots, so that none starves.
    double minSentPart { 0.2 };
    /// Multiple of that part for callers that were refused before: a refusal should not be followed by another.
    double sentPartIfReturning { 2 };
    double maxShare { 0.8 };

    /// Part of the asked targets that must have room, slow ones included, for a late request.
    double roomIfLate { 0.6 };
    /// The same for any request whose best target is slow. It would keep a slot for several times as long as on a
    /// target that becomes fast soon.
    double roomIfSlow { 0.8 };
    double roomIfLateAndReturning { 0.3 };

    /// With less share, the most urgent requests leave the slots beyond which targets slow down, like all others do
    /// under shortage: then the shortage is of their own making, and using these slots completes less.
    double minShareForCrowdedSlots { 0.08 };

    /// A request is held for at most this part of its latency target, as it loses worth beyond an eighth.
    int maxHoldDivisor { 8 };
    /// Time for asking targets at the end of the hold.
    Core::Duration holdMargin { std::chrono::milliseconds(10) };
    /// A held request is tried again after this part of its latency target.
    int holdStepDivisor { 24 };
    Core::Duration minHoldStep { std::chrono::milliseconds(15) };
    /// A request is held only if at most this much share is missing; a deeper shortage does not end in time.
    double maxMissingShareToHold { 0.2 };
    /// A request that found no room is held only from this share on.
    double minShareToHold { 0.05 };

    Core::Duration minRetryAfter { std::chrono::milliseconds(50) };
    Core::Duration minRetrySpread { std::chrono::milliseconds(150) };
    /// A shortage that has lasted for some time is expected to last as long again, within these limits.
    Core::Duration minShortageLeft { std::chrono::milliseconds(300) };
    Core::Duration maxShortageLeft { std::chrono::seconds(4) };
    /// Callers honor Retry-After up to this part of the time that they have left.
    int retryAfterDivisor { 3 };
    /// A request with less time left than this part of its typical time is not sent.
    double minPartOfWorkLeft { 0.6 };

    bool operator==(OverloadOptions const&) const = default;
};

}
