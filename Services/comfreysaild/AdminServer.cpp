#include "AdminServer.h"

#include <boost/json.hpp>

namespace Comfreysail::Daemon {

using HTTP::awaitable;

namespace {

struct AdminResponse {
    unsigned status { 200 };
    std::string body;
    std::string contentType { "text/plain; charset=utf-8" };
};

constexpr unsigned statusServiceUnavailable = 503;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusMethodNotAllowed = 405;

}

AdminHandler::AdminHandler(DaemonServices& services, std::function<bool()> isReady)
    : m_services(services)
    , m_isReady(std::move(isReady))
{
}

awaitable<void> AdminHandler::handle(HTTP::ServerExchange& exchange)
{
    auto const& head = exchange.head();
    auto const path = head.target.substr(0, head.target.find('?'));
    AdminResponse response;
    if (head.method != "GET" && head.method != "HEAD") {
        response = { statusMethodNotAllowed, "Only GET and HEAD are allowed.\n" };
    } else if (path == "/health") {
        response.body = "ok\n";
    } else if (path == "/ready") {
        if (m_isReady())
            response.body = "ready\n";
        else
            response = { statusServiceUnavailable, "not ready\n" };
    } else if (path == "/metrics") {
        response = { 200, metricsText(), "text/plain; version=0.0.4" };
    } else if (path == "/status") {
        response = { 200, statusJson(), "application/json" };
    } else if (path == "/settings") {
        auto const settings = m_services.controlPlane.settings();
        if (settings)
            response = { 200, settings->toml, "application/toml" };
        else
            response = { statusNotFound, "There are no settings yet.\n" };
    } else {
        response = { statusNotFound, "Known paths: /health, /ready, /metrics, /status, /settings\n" };
    }
    HTTP::ResponseHead responseHead;
    responseHead.status = response.status;
    responseHead.fields.add("Content-Type", response.contentType);
    co_await exchange.respond(std::move(responseHead), response.body);
}

std::string AdminHandler::metricsText() const
{
    auto& metrics = m_services.metrics;
    metrics.gauge("comfreysail_active_requests").set(m_services.activeRequests);
    auto const now = Core::monotonicNow();
    for (auto const& dispatcher : m_services.routing.dispatchers()) {
        auto const& key = dispatcher->key();
        auto const load = dispatcher->load(now);
        Telemetry::Labels const labels { { "service", key.service }, { "availability_zone", key.availabilityZone },
            { "shard", std::to_string(key.shard) } };
        metrics.gauge("comfreysail_group_in_flight", labels).set(load.inFlight);
        metrics.gauge("comfreysail_group_queued", labels).set(load.queued);
        metrics.gauge("comfreysail_group_slots", labels).set(load.slots);
    }
    return metrics.prometheusText() + m_services.controlPlane.metricsText();
}

std::string AdminHandler::statusJson() const
{
    boost::json::object status;
    auto const settings = m_services.controlPlane.settings();
    status["vm_name"] = m_services.settings.vmName;
    status["availability_zone"] = m_services.settings.availabilityZone;
    status["version"] = COMFREYSAIL_VERSION;
    status["ready"] = m_isReady();
    status["settings_revision"] = settings ? settings->revision.revision : 0;
    status["active_requests"] = m_services.activeRequests.load();
    boost::json::array members;
    for (auto const& member : *m_services.controlPlane.liveMembers())
        members.push_back({ { "name", member.name }, { "availability_zone", member.availabilityZone } });
    status["members"] = std::move(members);
    auto const now = Core::monotonicNow();
    boost::json::array groups;
    for (auto const& dispatcher : m_services.routing.dispatchers()) {
        auto const& key = dispatcher->key();
        auto const load = dispatcher->load(now);
        groups.push_back(
            { { "service", key.service }, { "availability_zone", key.availabilityZone }, { "shard", key.shard },
                { "slots", load.slots }, { "in_flight", load.inFlight }, { "queued", load.queued } });
    }
    status["groups"] = std::move(groups);
    boost::json::array quarantine;
    for (auto const& entry : m_services.retries.quarantine(now)) {
        quarantine.push_back({ { "fingerprint", Core::toHex(entry.fingerprint) },
            { "crashed_targets", entry.targetInstances.size() }, { "refused", entry.isRefused } });
    }
    status["quarantine"] = std::move(quarantine);
    boost::system::error_code error;
    status["control_plane"] = boost::json::parse(m_services.controlPlane.statusJson(), error);
    return boost::json::serialize(status) + "\n";
}

}
