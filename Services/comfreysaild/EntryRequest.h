#pragma once

#include "BodyReservation.h"
#include "EntryState.h"
#include "StopSignal.h"
#include <LibHTTP/HTTP.h>
#include <LibTraffic/Traffic.h>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Comfreysail::Daemon {

/// The state of one caller's request while it is being processed.
struct EntryRequest {
    EntryRequest(HTTP::ServerExchange& exchange, EntryState& state)
        : exchange(exchange)
        , arrivedAt(Core::monotonicNow())
        , deadlineWatchdog(HTTP::Watchdog::create(exchange.strand()))
        , bodyMemory(state.bodies)
        , responseMemory(state.responseBuffers)
        , sendSlot(state.sendSlots)
    {
    }

    HTTP::ServerExchange& exchange;
    Core::Instant arrivedAt;
    std::shared_ptr<HTTP::Watchdog> deadlineWatchdog;
    StopSignal stopSignal;
    std::shared_ptr<Traffic::TrafficPlan const> plan; ///< Owns `route`.
    Traffic::RequestRoute const* route { nullptr };
    Access::Department const* department { nullptr }; ///< Owned by `plan`; nullptr if the request has none.
    unsigned rank { 0 };                              ///< Priority of the department or the route; 0 is most urgent.
    std::string service;
    std::string requestId;
    uint64_t fingerprint { 0 };
    Core::Instant deadline {}; ///< End of the caller's time or of the route's timeout, whichever comes first.
    std::optional<Core::Instant> callerDeadline; ///< Absent if the caller states no time limit.
    Core::Duration earlierWait {};               ///< Time that the caller spent on earlier attempts, estimated.
    BodyReservation bodyMemory;
    std::shared_ptr<std::string> body { std::make_shared<std::string>() };
    double uniform { 0 }; ///< Random number in [0, 1), drawn once, so that retries go to the same version.

    double sheddingDraw { 0 }; ///< Random number in [0, 1), see Overload::DecisionInput::draw.
    /// The last decision under shortage and its inputs; absent if the request was not decided about.
    std::optional<std::pair<Overload::DecisionInput, Overload::Decision>> shedding;

    unsigned pausesAtSelection { 0 }; ///< Number of pauses of the process when the selection of the target began.

    unsigned sends { 0 };
    std::string lastTarget;
    uint16_t lastLocalPort { 0 };         ///< Of the connection of the last send; 0 if there was none.
    bool isLastTargetInOwnZone { false }; ///< The last target is in this daemon's availability zone.
    bool wasConnectionLost { false };     ///< The last send lost its connection before a response.
    bool wasResponseCutOff { false };     ///< The last send lost its connection after the response had begun.
    bool wasConnectRefusedHere { false }; ///< The last send found no room for a connection in this process.
    bool mayHaveRun { false };            ///< A target may have executed the request.
    /// Set after a lost connection: whether a target answered a later send. Outlives the request.
    std::shared_ptr<bool> wasAnsweredAfterLoss;
    std::vector<std::string> triedTargets;
    Core::Instant sentAt {};         ///< Time of the last send; zero if no connection was established.
    bool isQueuedAtTarget { false }; ///< The last send went to a target without a free slot and queued there.
    double expectedCost { 0 }; ///< Of the last send, see Traffic::expectedCost(); 0 if the target does not report load.

    /// The last response to this request, with its complete body.
    std::optional<HTTP::ResponseHead> response;
    std::string responseBody;
    BodyReservation responseMemory; ///< For `responseBody`.
    BodyReservation sendSlot;       ///< Held while the request may have a connection to a target.
    /// Set while the response body is too large to buffer; the rest of it is still to be read from this connection.
    std::shared_ptr<HTTP::ClientConnection> streamingConnection;

    /// Returns true if the process was paused after the selection of the target began. What was known then may have
    /// expired.
    bool wasPausedSinceSelection(EntryState& state) const
    {
        return state.pauses.noteTick(Core::suspendAwareNow()) != pausesAtSelection;
    }

    bool isIdempotent() const { return route->idempotency == Traffic::Idempotency::Idempotent; }
};

}
