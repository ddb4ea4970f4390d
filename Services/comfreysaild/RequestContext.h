#pragma once

#include "RequestClassification.h"
#include "StopSignal.h"
#include <LibClaims/Claims.h>
#include <LibHTTP/HTTP.h>
#include <memory>
#include <string>
#include <vector>

namespace Comfreysail::Daemon {

/// One request while it is worked on. Everything runs on the strand of its connection.
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

    /// The body, or its first part when isStreamed.
    std::shared_ptr<std::string> body { std::make_shared<std::string>() };
    bool isStreamed { false };
    bool isStreamConsumed { false }; ///< The streamed part was read, so the request cannot be sent again.

    StopSignal stopSignal;
    std::shared_ptr<HTTP::Watchdog> deadlineWatchdog;
    std::shared_ptr<HTTP::Watchdog> stallWatchdog; ///< For the body of the response.

    unsigned attempt { 0 }; ///< Sends to targets or homes so far.
    bool wasSpilled { false };
    bool mayHaveRun { false }; ///< A byte of an earlier or the current send may have reached a target.
    std::vector<std::string> failedTargets;
    std::vector<std::string> failedHomes;
    std::vector<std::string> failedZones;
    std::optional<Claims::ClaimToken> claim; ///< Held by this request.
    Core::WallTime claimStartBy {};
    uint32_t draw { 0 }; ///< Drawn once, so that a retry stays on its version.

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
