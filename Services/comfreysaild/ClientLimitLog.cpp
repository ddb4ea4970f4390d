#include "ClientLimitLog.h"

#include <utility>

namespace Comfreysail::Daemon {

namespace {

constexpr auto logInterval = std::chrono::seconds(1);

}

ClientLimitLog::ClientLimitLog(Telemetry::MetricRegistry& metrics)
    : m_metrics(metrics)
{
}

void ClientLimitLog::note(HTTP::ClientLimit limit, std::string const& address, Core::Instant now)
{
    auto& entry = m_entries[limit];
    auto const name = HTTP::limitName(limit);
    if (!entry.counter)
        entry.counter = &m_metrics.counter("comfreysail_client_limits_total", { { "limit", std::string(name) } });
    entry.counter->add();
    ++entry.notLogged;
    if (entry.loggedAt != Core::Instant {} && now - entry.loggedAt < logInterval)
        return;
    entry.loggedAt = now;
    Telemetry::EventLine("client_limit")
        .add("limit", name)
        .add("address", address)
        .add("count", std::exchange(entry.notLogged, 0))
        .logWarning();
}

}
