#include "EntryMetrics.h"

#include <platform/Names.h>

namespace Comfreysail::Daemon {

using Core::Duration;
using Telemetry::Labels;

namespace {

constexpr std::array<std::string_view, 3> classNames { "lookup", "order", "download" };

Telemetry::Counter& zoneBytes(Telemetry::MetricRegistry& registry, std::string const& zone)
{
    return registry.counter("comfreysail_target_body_bytes_total", { { "zone", zone } });
}

}

RequestClass requestClassOf(Traffic::RequestRoute const& route)
{
    if (route.isDownload)
        return RequestClass::Download;
    return route.idempotency == Traffic::Idempotency::Idempotent ? RequestClass::Lookup : RequestClass::Order;
}

EntryMetrics::EntryMetrics(Telemetry::MetricRegistry& registry)
    : m_ownZoneBytes(zoneBytes(registry, "own"))
    , m_otherZoneBytes(zoneBytes(registry, "other"))
{
    for (size_t index = 0; index < classNames.size(); ++index) {
        std::string const name(classNames.at(index));
        auto const sends = [&](std::string const& kind) {
            return &registry.counter("comfreysail_sends_total", { { "class", name }, { "send", kind } });
        };
        Labels const labels { { "class", name } };
        m_classes.at(index) = { &registry.histogram("comfreysail_request_seconds", labels),
            &registry.histogram("comfreysail_placement_seconds", labels),
            &registry.histogram("comfreysail_target_seconds", labels), sends("first"), sends("repeated") };
    }
}

void EntryMetrics::noteSend(RequestClass requestClass, bool isRetry, Duration placementTime, Duration targetTime)
{
    auto& metrics = metricsOf(requestClass);
    (isRetry ? metrics.retrySends : metrics.firstSends)->add();
    if (!isRetry)
        metrics.placement->add(placementTime);
    metrics.target->add(targetTime);
}

void EntryMetrics::noteBytes(bool isOwnZone, uint64_t bytes)
{
    (isOwnZone ? m_ownZoneBytes : m_otherZoneBytes).add(bytes);
}

void EntryMetrics::noteResponse(RequestClass requestClass, Duration total)
{
    metricsOf(requestClass).total->add(total);
}

void countTargetConnection(EntryState& state, std::string_view purpose)
{
    state.metrics.counter("comfreysail_target_connections_total", { { "purpose", std::string(purpose) } }).add();
}

void updateStateGauges(EntryState& state, Core::Instant now)
{
    auto& metrics = state.metrics;
    metrics.gauge("comfreysail_active_requests").set(state.activeRequests);
    metrics.gauge("comfreysail_settings_revision").set(state.plan ? static_cast<int64_t>(state.plan->revision) : 0);
    // -1 until the rows are read for the first time; 0 would look like fresh rows.
    bool const hasRows = state.rowsReadAt != Core::Instant {};
    metrics.gauge("comfreysail_rows_age_milliseconds").set(hasRows ? Core::toMilliseconds(now - state.rowsReadAt) : -1);
    metrics.gauge("comfreysail_targets").set(static_cast<int64_t>(state.directory.size()));
    auto const members = state.sharedRows.table(Platform::Table::members).size();
    metrics.gauge("comfreysail_members").set(static_cast<int64_t>(members));
    for (auto const& [service, tokens] : state.retries.tokensLeft())
        metrics.gauge("comfreysail_retry_tokens_left", { { "service", service } }).set(static_cast<int64_t>(tokens));
}

}
