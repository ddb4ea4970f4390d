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
    /// Part of the move's time after which a version without a sign of a fault gets all traffic.
    double trialPart { 0.6 };
    /// Bad responses that are enough for a verdict when they are also a large part.
    uint64_t failuresForVerdict { 3 };
    double failureShareForVerdict { 0.15 };
    /// How much larger the part of slow responses must be than the old version's, and their least number.
    double slowShareExcess { 0.4 };
    uint64_t slowForVerdict { 5 };
    /// How long all traffic goes to the new version before the move is reported as completed, so that requests at the
    /// old version, which stops at once then, have ended.
    Core::Duration settleTime { std::chrono::milliseconds(3200) };

    bool operator==(MoveOptions const&) const = default;
};

/// True when the new version is worse than the old one.
bool isBad(VersionEvidence const& newVersion, VersionEvidence const& oldVersion, MoveOptions const&);

/// The part of the requests that goes to the new version of a running move. `since` is the time since the order.
double shareOfNewVersion(VersionMove const&, Core::Duration since, MoveOptions const&);

/// True when a running move without a fault may be reported as completed.
bool isFinished(VersionMove const&, Core::Duration since, MoveOptions const&);

}
