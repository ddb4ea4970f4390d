#pragma once

#include <LibTraffic/VersionMove.h>
#include <cstdint>

namespace Comfreysail::Traffic {

/// Outcomes of requests to one side of a move, from one or from all daemons.
struct VersionEvidence {
    uint64_t requests { 0 }; ///< Finished requests.
    uint64_t failures { 0 }; ///< Responses that report a failure of the target.
    uint64_t slow { 0 };     ///< Responses later than the latency target of their route.

    bool operator==(VersionEvidence const&) const = default;
};

VersionEvidence operator+(VersionEvidence const&, VersionEvidence const&);

struct MoveOptions {
    /// Share of the new version while it is on trial; below the share that a bad version may ever get.
    double trialShare { 0.07 };
    /// Requests of all daemons together with which the trial begins at a larger share, so that a fault shows soon;
    /// below the number that a bad version may get beside its share.
    double eagerRequests { 32 };
    double eagerShare { 0.3 };
    /// Part of the move's time after which a version without a sign of a fault gets all traffic.
    double trialPart { 0.6 };
    /// Bad responses that are enough for a verdict when they are also a large part.
    uint64_t failuresForVerdict { 3 };
    double failureShareForVerdict { 0.1 };
    /// How much larger the part of slow responses must be than the old version's, and their least number. After the
    /// trial the new version has the whole load, which may be what slows it, so more is asked then.
    double slowShareExcess { 0.15 };
    double slowShareExcessAfterTrial { 0.5 };
    uint64_t slowForVerdict { 5 };
    /// By how many standard deviations the parts must differ; a good version is judged several times in its trial.
    double significance { 3.4 };
    /// How long all traffic goes to the new version before the move is reported as completed, so that requests at the
    /// old version, which stops at once then, have ended.
    Core::Duration settleTime { std::chrono::milliseconds(2400) };

    bool operator==(MoveOptions const&) const = default;
};

/// True when the new version is worse than the old one. `isTrial` while only a part of the requests goes to it.
bool isBad(VersionEvidence const& newVersion, VersionEvidence const& oldVersion, bool isTrial, MoveOptions const&);

/// True while a new version has only a part of the requests. `since` is the time since the order.
bool isTrial(VersionMove const&, Core::Duration since, MoveOptions const&);

/// The part of this daemon's requests that goes to the new version of a running move. `sent` is the number of requests
/// that this daemon sent to it so far, `daemons` the number of those that are known, 0 when none is.
double shareOfNewVersion(VersionMove const&, Core::Duration since, uint64_t sent, size_t daemons, MoveOptions const&);

/// True when a running move without a fault may be reported as completed.
bool isFinished(VersionMove const&, Core::Duration since, MoveOptions const&);

}
