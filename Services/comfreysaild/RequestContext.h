#pragma once

#include "RequestClassification.h"
#include "StopSignal.h"
#include <LibClaims/Claims.h>
#include <LibHTTP/HTTP.h>
#include <memory>
#include <string>
#include <vector>

namespace Comfreysail::Daemon {

/// State of an in-flight request. Accessed only on the strand of the caller's connection.
struct RequestContext {
    explicit RequestContext(HTTP::ServerExchange& exchange, Origin origin)
        : exchange(exchange)
        , origin(origin)
        , deadlineWatchdog(HTTP::Watchdog::create(exchange.strand()))
        , stallWatchdog(HTTP::Watchdog::create(exchange.strand()))
    {
    }

    HTTP::ServerExchange& exchange;
    Origin origin;
    RequestClassification classification;
    Core::Instant arrivedAt {};
    uint64_t fingerprint { 0 };

    /// The whole body, or only its first part if isStreamed.
    std::shared_ptr<std::string> body { std::make_shared<std::string>() };
    bool isStreamed { false };
    /// A send has begun to read the streamed part, so the request cannot be sent again.
    bool isStreamConsumed { false };

    StopSignal stopSignal;
    std::shared_ptr<HTTP::Watchdog> deadlineWatchdog;
    std::shared_ptr<HTTP::Watchdog> stallWatchdog; ///< Limits how long the body of the response may make no progress.

    unsigned attempt { 0 }; ///< Number of sends to targets or homes so far.
    bool wasSpilled { false };
    bool mayHaveRun { false }; ///< A byte of an earlier or the current send may have reached a target.
    std::vector<std::string> failedTargets;
    std::vector<std::string> failedHomes;
    std::vector<std::string> failedZones;
    std::optional<Claims::ClaimToken> claim; ///< Held by this request.
    Core::WallTime claimStartBy {};
    uint32_t draw { 0 }; ///< Random number, drawn once so that a retry uses the same version.

    Core::Instant deadline() const { return classification.deadline; }
    bool isBodyReplayable() const { return !isStreamed; }
};

/// Stops the request at its deadline.
inline void armDeadline(RequestContext& context)
{
    context.deadlineWatchdog->arm(
        context.deadline(), [&context] { context.stopSignal.stop(Core::ErrorKind::DeadlineExceeded); });
}

}
