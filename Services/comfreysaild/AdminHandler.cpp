#include "AdminHandler.h"

#include <LibStore/SettingsHead.h>
#include <array>
#include <boost/json.hpp>

namespace Comfreysail::Daemon {

using HTTP::awaitable;

namespace {

constexpr unsigned statusServiceUnavailable = 503;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusMethodNotAllowed = 405;
constexpr size_t bodyPieceSize = size_t { 16 } * 1024;
// Bytes. A settings tree of 150 services and 2,000 targets takes 0.26 MB.
constexpr size_t maxSettingsBody = size_t { 4 } * 1024 * 1024;

AdminResponse errorResponse(Core::Error const& error)
{
    return { Core::errorRule(error.kind).status, error.detail + "\n" };
}

awaitable<Core::Result<std::string>> readWholeBody(HTTP::ServerExchange& exchange, size_t maxBytes)
{
    std::string body;
    std::array<char, bodyPieceSize> piece {};
    while (!exchange.isBodyFinished()) {
        auto const size = co_await exchange.readBody(piece);
        if (Core::isError(size))
            co_return Core::errorOf(size);
        body.append(piece.data(), Core::valueOf(size));
        if (body.size() > maxBytes)
            co_return Core::Error { Core::ErrorKind::BodyTooLarge,
                "the limit is " + std::to_string(maxBytes) + " bytes" };
    }
    co_return body;
}

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
    if (head.method == "POST" && path == "/settings")
        response = co_await acceptSettings(exchange);
    else if (head.method == "GET" || head.method == "HEAD")
        response = handleGet(path);
    else
        response = { statusMethodNotAllowed, "Only GET, HEAD, and POST of /settings are allowed.\n" };
    HTTP::ResponseHead responseHead;
    responseHead.status = response.status;
    responseHead.fields.add("Content-Type", response.contentType);
    co_await exchange.respond(std::move(responseHead), response.body);
}

AdminResponse AdminHandler::handleGet(std::string_view path) const
{
    if (path == "/health")
        return { 200, "ok\n" };
    if (path == "/ready") {
        if (m_isReady())
            return { 200, "ready\n" };
        return { statusServiceUnavailable, "not ready\n" };
    }
    if (path == "/metrics")
        return { 200, metricsText(), "text/plain; version=0.0.4" };
    if (path == "/status")
        return { 200, statusJson(), "application/json" };
    if (path == "/settings") {
        if (auto const settings = m_services.controlPlane.settings())
            return { 200, settings->toml, "application/toml" };
        return { statusNotFound, "There are no settings yet.\n" };
    }
    return { statusNotFound, "Known paths: /health, /ready, /metrics, /status, /settings\n" };
}

awaitable<AdminResponse> AdminHandler::acceptSettings(HTTP::ServerExchange& exchange)
{
    auto const body = co_await readWholeBody(exchange, maxSettingsBody);
    if (Core::isError(body))
        co_return errorResponse(Core::errorOf(body));
    auto head = Store::SettingsHead::fromJson(Core::valueOf(body), "body");
    if (Core::isError(head))
        co_return errorResponse(Core::errorOf(head));
    auto const& [revision, toml, objectName, rowVersion] = Core::valueOf(head);
    if (!toml)
        co_return errorResponse({ Core::ErrorKind::InvalidSettings, "the body has no field \"toml\"" });
    auto const adopted
        = co_await m_services.controlPlane.pushSettings(revision.revision, revision.changeId, revision.hash, *toml);
    if (Core::isError(adopted))
        co_return errorResponse(Core::errorOf(adopted));
    co_return AdminResponse { 200, "revision " + std::to_string(Core::valueOf(adopted)) + " is in force\n" };
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
    status["name"] = m_services.settings.vmName;
    status["availability_zone"] = m_services.settings.availabilityZone;
    status["version"] = COMFREYSAIL_VERSION;
    status["ready"] = m_isReady();
    status["revision"] = settings ? settings->revision.revision : 0;
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
