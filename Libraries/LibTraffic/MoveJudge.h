#pragma once

#include <LibTraffic/VersionMove.h>
#include <cstdint>

namespace Comfreysail::Traffic {

/// Outcomes of the requests to one version of a move (the old or the new one), from one or from all daemons.
struct VersionEvidence {
    uint64_t requests { 0 }; ///< Finished requests.
    uint64_t failures { 0 }; ///< Responses that report a failure of the target.
    uint64_t slow { 0 };     ///< Responses that took longer than the latency target of their route.

    bool operator==(VersionEvidence const&) const = default;
};

VersionEvidence operator+(VersionEvidence const&, VersionEvidence const&);

struct MoveOptions {
    /// Share of the requests that the new version gets during the trial. It is below the share that a bad version is
    /// allowed to get.
    double trialShare { 0.07 };
    /// The first requests of the trial, over all daemons together, use the larger share below, so that a fault shows
    /// soon. Their number is below the number that a bad version is allowed to get in addition to its share.
    double initialTrialRequests { 32 };
    double initialTrialShare { 0.3 };
    /// Fraction of the move's duration after which a version that shows no fault gets all traffic.
    double trialFraction { 0.6 };
    /// A version is judged bad if it has at least this many failures and its failure rate exceeds that of the old
    /// version by this much.
    uint64_t failuresForVerdict { 3 };
    double failureShareForVerdict { 0.05 };
    /// A version is judged bad if its fraction of slow responses exceeds that of the old version by this much and it
    /// has at least this many slow responses. After the trial a larger excess is required, because the new version then
    /// carries the whole load, which may itself cause the slowness.
    double slowShareExcess { 0.15 };
    double slowShareExcessAfterTrial { 0.5 };
    uint64_t slowForVerdict { 5 };
    /// Number of standard deviations by which the rates must differ. The value is high because a good version is judged
    /// several times during its trial.
    double significance { 3.4 };
    /// How long all traffic goes to the new version before the move is reported as completed. The old version stops as
    /// soon as that is reported, so requests to it must have ended by then.
    Core::Duration drainTime { std::chrono::milliseconds(2400) };

    bool operator==(MoveOptions const&) const = default;
};

/// Returns true if the new version is worse than the old one. `isTrial` is true while the new version gets only a share
/// of the requests.
bool isNewVersionBad(
    VersionEvidence const& newVersion, VersionEvidence const& oldVersion, bool isTrial, MoveOptions const&);

/// Returns true while the new version gets only a share of the requests. `since` is the time since the order.
bool isTrial(VersionMove const&, Core::Duration since, MoveOptions const&);

/// Returns the share of this daemon's requests that goes to the new version of a running move. `sent` is the number of
/// requests that this daemon has sent to the new version, and `daemons` the number of known daemons, or 0 if none is
/// known.
double shareOfNewVersion(VersionMove const&, Core::Duration since, uint64_t sent, size_t daemons, MoveOptions const&);

/// Returns true if a running move that shows no fault may be reported as completed.
bool isFinished(VersionMove const&, Core::Duration since, MoveOptions const&);

}
