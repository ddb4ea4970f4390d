#pragma once

#include "OverloadState.h"
#include "StopSignal.h"
#include "UsageState.h"
#include <LibRetry/Retry.h>
#include <LibTelemetry/Telemetry.h>
#include <LibTraffic/Traffic.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <platform/Names.h>
#include <random>
#include <set>
#include <string>

namespace Comfreysail::Daemon {

/// A move between versions, as this daemon knows it.
struct MoveInProgress {
    Traffic::VersionMove move;
    Core::Instant startedAt {};      ///< When the first daemon saw the order; until that is known, when this one did.
    bool isStartKnown { false };     ///< `startedAt` comes from the store.
    bool missedTrialStart { false }; ///< This daemon heard of the order late, so it takes no part in the initial trial.
    Traffic::MoveState state { Traffic::MoveState::Running };
    uint64_t resultRevision { 0 };   ///< Revision of the store row with the result; 0 for none.
    uint64_t sentToNewVersion { 0 }; ///< Requests that this daemon sent to the new version.
    Traffic::MoveEvidence evidence;  ///< Observed by this daemon.
};

/// What an entry daemon knows about the system. Not thread safe: the daemon runs on one thread.
struct EntryState {
    static constexpr size_t defaultRequestsAtTargets = 10'000;

    explicit EntryState(Traffic::SharedRetryBudget budget, std::string_view vmName = {},
        Traffic::BodyBudgetOptions const& bodyOptions = {}, size_t requestsAtTargets = defaultRequestsAtTargets)
        : daemonName(vmName)
        , directory(vmName)
        , bodies(bodyOptions)
        , responseBuffers(bodyOptions)
        , sendSlots({ requestsAtTargets, 0, 0 })
        , retries(std::move(budget))
    {
    }

    std::string daemonName;
    Traffic::SharedRows sharedRows { { std::string(Platform::Table::targets) } };
    Traffic::StoreClock storeClock;
    Core::Instant rowsReadAt {}; ///< When this or another daemon read the shared rows from the store.
    std::shared_ptr<Traffic::TrafficPlan const> plan; ///< nullptr until the first plan arrives.
    uint64_t planRowRevision { 0 };                   ///< Of the last row with a plan, also a refused one.
    std::set<std::string, std::less<>> zonesOutOfService;
    std::map<std::string, MoveInProgress, std::less<>> moves; ///< By service.
    /// Moves whose order is missing since the store came back from an older copy, by service.
    std::map<std::string, MoveInProgress, std::less<>> movesWithoutOrder;
    /// From before the newest order, by service. Kept when the order is withdrawn.
    std::map<std::string, Traffic::VersionHistory, std::less<>> versionHistories;
    Traffic::EvidenceLedger evidence; ///< Of all daemons, as far as it arrived here.
    Traffic::EvidenceLedger::Origin evidenceOrigin { std::random_device {}() };
    std::map<std::string, uint64_t, std::less<>> verdicts; ///< Revision of the move order judged bad, by service.
    Traffic::TargetDirectory directory;
    std::map<std::string, Traffic::PauseQueue, std::less<>> pauseQueues; ///< By service.
    Traffic::PauseDetector pauses;
    bool hasReadTargets { false };
    Traffic::BodyBudget bodies;          ///< Memory for the bodies of callers' requests.
    Traffic::BodyBudget responseBuffers; ///< Memory for the parts of targets' responses that are buffered.
    /// Slots for requests that may hold a connection to a target, one for each request instead of a byte.
    Traffic::BodyBudget sendSlots;
    /// Called when a request waits for a slot. Gives up the response that has been left unread for the longest time.
    std::function<void()> onSlotShortage;
    Traffic::SharedRetryBudget retries;
    Traffic::ColdTargetRateLimiter coldSends;
    std::map<std::string, Traffic::CallerTimeoutEstimate, std::less<>>
        timeLimits; ///< Estimated timeouts of the callers, by route.
    std::map<std::string, Traffic::ServiceTimeEstimate, std::less<>> serviceTimes;   ///< By route.
    std::map<std::string, Traffic::QueueingEstimate, std::less<>> queueingEstimates; ///< By route.
    std::map<std::string, Traffic::RequestRateEstimate, std::less<>> requestRates;   ///< By service.
    bool usesTargetSubset { false }; ///< Each daemon prefers a subset of the targets, if there are many daemons.
    OverloadState overload;
    std::set<std::string, std::less<>> servicesWithoutLoadReports; ///< Their targets do not report load.
    Retry::Quarantine quarantine { { .crashesUntilRefused = 3 } };
    unsigned activeRequests { 0 };
    std::set<StopSignal*> activeStopSignals; ///< Of the active requests.
    /// During a planned stop, when the requests that are still active are given up.
    std::optional<Core::Instant> stopsServingAt;
    bool isShuttingDown { false };
    std::unique_ptr<UsageState> usage; ///< nullptr if no usage is reported.
    Telemetry::MetricRegistry metrics;
};

/// Shared rows older than this are stale: changes have to be in force everywhere within 2 s.
inline constexpr Core::Duration maxFreshAge = std::chrono::milliseconds(1500);

/// Records that the version of a move order is bad. Ignored if a verdict on a newer order of the service is known.
void noteVerdict(EntryState&, std::string const& service, uint64_t orderedAt);

/// Sets the final state of a move. After RolledBack the new version gets no more requests.
void endMove(std::string const& service, MoveInProgress&, Traffic::MoveState);

/// Applies what a target said of itself in its response to a request, or to a load probe, that was sent at `sentAt`.
/// `typicalWork` is that of the request, zero if unknown.
void noteSignals(EntryState&, std::string const& target, Traffic::TargetSignals const&, bool isProbe,
    Core::Instant sentAt, Core::Instant now, Core::Duration typicalWork = {});

/// The typical time of a request of the route at a target; zero if unknown.
Core::Duration typicalWorkOf(EntryState const&, std::string const& route);

/// The version that a request has to use, or std::nullopt if it may use any. An empty string means that no version is
/// allowed. `uniform` is a random number in [0, 1).
std::optional<std::string> allowedVersion(
    EntryState const&, std::string_view service, double uniform, Core::Instant now);

}
