#pragma once

#include "EntryState.h"
#include <LibTelemetry/Telemetry.h>
#include <array>

namespace Comfreysail::Daemon {

/// Value of the metric label "class". Metrics have no label for routes or services, since operators may have thousands
/// of routes.
enum class RequestClass : uint8_t {
    Lookup,
    Order,
    Download,
};

RequestClass requestClassOf(Traffic::RequestRoute const&);

/// The metrics of the request path. Looks them up in the registry once, on construction.
class EntryMetrics {
public:
    explicit EntryMetrics(Telemetry::MetricRegistry&);

    /// Records a send that ended. `placementTime` is the time from the request's arrival to the send; ignored for
    /// retries.
    void noteSend(RequestClass, bool isRetry, Core::Duration placementTime, Core::Duration targetTime);
    /// Counts body bytes exchanged with a target, in both directions.
    void noteBytes(bool isOwnZone, uint64_t bytes);
    /// Records a delivered response. `total` is the time since the request's arrival.
    void noteResponse(RequestClass, Core::Duration total);

private:
    struct ClassMetrics {
        Telemetry::LatencyHistogram* total { nullptr };
        Telemetry::LatencyHistogram* placement { nullptr };
        Telemetry::LatencyHistogram* target { nullptr };
        Telemetry::Counter* firstSends { nullptr };
        Telemetry::Counter* retrySends { nullptr };
    };

    ClassMetrics& metricsOf(RequestClass requestClass) { return m_classes.at(static_cast<size_t>(requestClass)); }

    std::array<ClassMetrics, 3> m_classes;
    Telemetry::Counter& m_ownZoneBytes;
    Telemetry::Counter& m_otherZoneBytes;
};

/// Counts a connection that was opened to a target. `purpose` is "request", "probe" or "check" (of a target that closed
/// a connection without a response).
void countTargetConnection(EntryState&, std::string_view purpose);

/// Sets the gauges for the age and size of the daemon's state and for its remaining retry budgets.
void updateStateGauges(EntryState&, Core::Instant now);

}
