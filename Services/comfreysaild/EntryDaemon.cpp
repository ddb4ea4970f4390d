#include "EntryDaemon.h"

#include "CommandLine.h"
#include "EntryMetrics.h"
#include "ListenerOptions.h"
#include "RouteExplanation.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <system_error>

namespace Comfreysail::Daemon {

namespace asio = boost::asio;
using Core::Empty;
using Core::Result;
using HTTP::awaitable;
using namespace std::chrono_literals;

namespace {

// Shorter than the idle timeout of targets, which is ten seconds or more. If a target closes earlier, the next use of
// the connection fails.
constexpr auto maxIdleTime = 8s;
constexpr auto maintenanceInterval = 1s;
// Several times within the gap that counts as a pause.
constexpr auto tickInterval = 500ms;
constexpr auto shutdownPollInterval = 20ms;
// Time for a request that is still being received when the last active request ends.
constexpr auto lastRequestsGrace = 100ms;

// The requests of other daemons carry evidence on moves, about 25 bytes for each daemon.
constexpr size_t maxRelayHeaderBytes = size_t { 64 } * 1024;

// Each for the bodies of requests and for the buffered parts of responses. The rest is for connections, rows, and the
// copy that a growing body needs.
constexpr double fractionOfMemoryForBodies = 0.25;

// All clients may come through one address, that of a balancer, so the rest must be a small part.
constexpr unsigned callerAddressSharePercent = 90;

// The requests of the balancer and of collectors have short heads.
constexpr size_t adminHeadMemoryBytes = size_t { 256 } * 1024;

// Used when the settings have no grace time.
constexpr auto defaultGrace = std::chrono::hours(24);
// Part of the grace time that is kept for stopping the process.
constexpr auto exitReserve = 250ms;
// Part of that in which the callers of requests that are given up get their responses.
constexpr auto lastResponsesTime = 100ms;
// The last counts are sent to collectors one after the other, at most four. At the end of the grace time this has to
// fit into the rest of the reserve; usually there is more time.
constexpr Core::Duration minLastCountsTimeout = 35ms;
constexpr Core::Duration maxLastCountsTimeout = 300ms;
constexpr int64_t lastCountsAttempts = 4;

Traffic::BodyBudgetOptions bodyBudgetOptions(DaemonSettings const& settings)
{
    constexpr double bytesPerMebibyte = 1 << 20;
    Traffic::BodyBudgetOptions options;
    options.capacityBytes
        = static_cast<size_t>(settings.memoryMebibytes * bytesPerMebibyte * fractionOfMemoryForBodies);
    return options;
}

// Load probes use the rest. They end within half a second, but without them no target is chosen.
constexpr size_t reservedForRequestsDivisor = 4;

HTTP::PoolOptions entryPoolOptions(DaemonSettings const& settings, HTTP::ProcessBudget const& budget)
{
    auto options = poolOptions(settings);
    options.maxIdleTime = maxIdleTime;
    options.maxConnections = budget.targetConnections;
    options.reservedForRequests = budget.targetConnections / reservedForRequestsDivisor;
    return options;
}

}

EntryDaemon::EntryDaemon(DaemonSettings settings, std::string settingsPath)
    : m_settings(std::move(settings))
    , m_settingsPath(std::move(settingsPath))
    , m_budget(processBudget(m_settings))
    , m_context(1)
    , m_state(Traffic::SharedRetryBudget(m_settings.retryRatio, m_settings.retrySlack), m_settings.vmName,
          bodyBudgetOptions(m_settings), m_budget.requestsAtTargets)
    , m_limitLog(m_state.metrics)
    , m_pool(m_context, entryPoolOptions(m_settings, m_budget))
    , m_store(m_context.get_executor(), m_settings.platform->address, m_settings.platform->port)
    , m_adopter(m_state)
    , m_reader(m_store, m_state, m_adopter)
    , m_relay(m_context, m_pool, m_state, m_settings.vmName)
    , m_moveController(m_context, m_reader, m_relay, m_adopter, m_state, m_settings.vmName)
    , m_crashReporter(m_context, m_reader, m_state)
    , m_follower(m_context, m_reader, m_relay, m_adopter, m_moveController, m_crashReporter, m_state,
          { m_settings.vmName, m_settings.control.address + ":" + std::to_string(m_settings.control.port),
              m_settings.processorShare },
          m_settings.seeds, m_settings.isFirstStart)
    , m_prober(m_context, m_pool, m_state)
    , m_handler(m_context, m_pool, m_prober, m_state, m_settings.availabilityZone, m_crashReporter)
    , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
{
    m_state.usesTargetSubset = m_settings.usesTargetSubset;
    m_state.usage = makeUsageState(m_settings.duties, m_settings.vmName, Core::monotonicNow());
    if (m_state.usage) {
        auto const& endpoint = m_settings.duties->endpoint;
        m_usageReporter = std::make_unique<UsageReporter>(
            m_context, m_pool, m_store, m_state, m_settings.vmName, HTTP::Endpoint { endpoint.address, endpoint.port });
    }
    m_state.overload.options = m_settings.overload;
}

Result<Empty> EntryDaemon::start()
{
    auto callerOptions = serverOptions(m_settings, m_settings.caller);
    callerOptions.maxConnections = std::min(callerOptions.maxConnections, m_budget.clientConnections);
    callerOptions.addressSharePercent = callerAddressSharePercent;
    callerOptions.maxRequestsAhead = m_budget.requestsAhead;
    callerOptions.maxHeadMemoryBytes = m_budget.headMemoryBytes;
    m_callerServer = createServer(
        std::move(callerOptions), [this](HTTP::ServerExchange& exchange) { return m_handler.handle(exchange); });
    auto adminOptions = serverOptions(m_settings, m_settings.admin);
    adminOptions.maxConnections = std::min(adminOptions.maxConnections, m_budget.adminConnections);
    adminOptions.maxHeadMemoryBytes = adminHeadMemoryBytes;
    m_adminServer = createServer(
        std::move(adminOptions), [this](HTTP::ServerExchange& exchange) { return handleAdmin(exchange); });
    auto relayOptions = serverOptions(m_settings, m_settings.control);
    relayOptions.maxConnections = std::min(relayOptions.maxConnections, m_budget.controlConnections);
    relayOptions.limits.maxHeaderBytes = std::max(relayOptions.limits.maxHeaderBytes, maxRelayHeaderBytes);
    m_relayServer = createServer(
        std::move(relayOptions), [this](HTTP::ServerExchange& exchange) { return handleControl(exchange); });
    m_state.onSlotShortage = [this] { m_callerServer->giveUpUnreadResponse(); };
    for (auto const& server : { m_adminServer, m_relayServer, m_callerServer }) {
        if (auto started = server->start(); isError(started))
            return started;
    }
    m_follower.start();
    if (m_usageReporter)
        m_usageReporter->start();
    return Empty {};
}

std::shared_ptr<HTTP::Server> EntryDaemon::createServer(HTTP::ServerOptions options, HTTP::Handler handler)
{
    options.onLimit = [this](HTTP::ClientLimit limit, std::string const& address) {
        m_limitLog.note(limit, address, Core::monotonicNow());
    };
    return HTTP::Server::create(m_context, std::move(options), std::move(handler));
}

int EntryDaemon::run()
{
    if (auto const started = start(); isError(started)) {
        Telemetry::EventLine("start_failed").add("reason", errorOf(started).detail).logError();
        return errorOf(started).kind == Core::ErrorKind::InvalidSettings ? exitUsage : exitRuntimeFailure;
    }
    Telemetry::EventLine("started")
        .add("vm_name", m_settings.vmName)
        .add("availability_zone", m_settings.availabilityZone)
        .add("caller_port", m_callerServer->port())
        .add("admin_port", m_adminServer->port())
        .add("max_client_connections", m_budget.clientConnections)
        .add("max_target_connections", m_budget.targetConnections)
        .logInfo();
    asio::co_spawn(m_context, maintenanceLoop(), asio::detached);
    asio::co_spawn(m_context, tickLoop(), asio::detached);
    asio::co_spawn(m_context, waitForSignals(), asio::detached);
    m_context.run();
    return exitSuccess;
}

bool EntryDaemon::isReady() const { return !m_state.isShuttingDown && m_state.plan && m_state.hasReadTargets; }

awaitable<void> EntryDaemon::pause(Core::Duration duration)
{
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(HTTP::useTuple);
}

awaitable<void> EntryDaemon::tickLoop()
{
    unsigned pauses = 0;
    while (true) {
        auto const count = m_state.pauses.noteTick(Core::suspendAwareNow());
        if (std::exchange(pauses, count) != count)
            Telemetry::EventLine("process_was_paused").add("pauses", count).logWarning();
        co_await pause(tickInterval);
    }
}

awaitable<void> EntryDaemon::maintenanceLoop()
{
    while (true) {
        co_await pause(maintenanceInterval);
        m_pool.closeExpired(Core::monotonicNow());
        Telemetry::logHeldLines();
        reloadSettingsIfFileChanged();
    }
}

void EntryDaemon::reloadSettingsIfFileChanged()
{
    std::error_code error;
    auto const time = std::filesystem::last_write_time(m_settingsPath, error);
    if (error || time == m_settingsFileTime)
        return;
    bool const isFirst = m_settingsFileTime == std::filesystem::file_time_type {};
    m_settingsFileTime = time;
    if (!isFirst)
        reloadSettings();
}

void EntryDaemon::reloadSettings()
{
    auto const read = readDaemonSettings(m_settingsPath);
    if (auto const* const faults = std::get_if<Settings::SettingsFaults>(&read)) {
        for (auto const& fault : *faults)
            Telemetry::EventLine("settings_file_refused").add("reason", fault.text()).logError();
        return;
    }
    auto const& settings = std::get<DaemonSettings>(read);
    bool const hasSameAddresses = settings.caller == m_settings.caller && settings.admin == m_settings.admin
        && settings.control == m_settings.control && settings.platform == m_settings.platform
        && settings.duties == m_settings.duties;
    if (!hasSameAddresses)
        Telemetry::EventLine("settings_file_needs_restart")
            .add("reason", "an address or a duty has changed")
            .logWarning();
    m_settings.seeds = settings.seeds;
    m_settings.balancerLag = settings.balancerLag;
    m_settings.grace = settings.grace;
    m_settings.retryRatio = settings.retryRatio;
    m_settings.retrySlack = settings.retrySlack;
    m_settings.usesTargetSubset = settings.usesTargetSubset;
    m_state.usesTargetSubset = settings.usesTargetSubset;
    m_settings.overload = settings.overload;
    m_state.overload.options = settings.overload;
    m_follower.setSeeds(settings.seeds);
    m_state.retries.setBudget(settings.retryRatio, settings.retrySlack);
    Telemetry::EventLine("settings_file_read").add("seeds", settings.seeds.size()).logInfo();
}

std::string EntryDaemon::statusJson() const
{
    boost::json::array zonesOutOfService;
    for (auto const& zone : m_state.zonesOutOfService)
        zonesOutOfService.push_back(boost::json::string(zone));
    boost::json::array moves;
    for (auto const& [service, progress] : m_state.moves)
        moves.push_back({ { "service", service }, { "to", progress.move.toVersion },
            { "state", static_cast<int>(progress.state) } });
    return boost::json::serialize(boost::json::object {
        { "revision", m_state.plan ? m_state.plan->revision : 0 },
        { "targets", m_state.directory.size() },
        { "zones_out", std::move(zonesOutOfService) },
        { "moves", std::move(moves) },
    });
}

Result<std::string> EntryDaemon::explainRouteJson(HTTP::RequestHead const& head) const
{
    auto question = RouteQuestion::parse(head.target);
    if (isError(question))
        return errorOf(question);
    auto asked = Core::takeValue(std::move(question));
    for (auto const& field : head.fields.all()) {
        if (HTTP::equalsIgnoringCase(field.name, "Authorization"))
            asked.authorizationValues.push_back(field.value);
    }
    return boost::json::serialize(toJson(
        explainRoute(m_state, asked, m_settings.availabilityZone, Core::monotonicNow(), Core::suspendAwareNow())));
}

awaitable<void> EntryDaemon::handleAdmin(HTTP::ServerExchange& exchange)
{
    std::string_view const target = exchange.head().target;
    auto const path = target.substr(0, target.find('?'));
    HTTP::ResponseHead head;
    head.fields.add("Content-Type", "text/plain; charset=utf-8");
    std::string body = "ok\n";
    if (path == "/ready" && !isReady()) {
        head.status = 503;
        body = "not ready\n";
    } else if (path == "/metrics") {
        updateStateGauges(m_state, Core::monotonicNow());
        m_state.metrics.gauge("comfreysail_client_connections")
            .set(static_cast<int64_t>(m_callerServer->connections()));
        m_state.metrics.gauge("comfreysail_target_connections").set(static_cast<int64_t>(m_pool.openConnections()));
        body = m_state.metrics.prometheusText();
    } else if (path == "/status") {
        body = statusJson();
    } else if (path == "/explain-route") {
        auto const explained = explainRouteJson(exchange.head());
        head.status = isError(explained) ? Core::errorRule(errorOf(explained).kind).status : 200;
        body = (isError(explained) ? errorOf(explained).detail : valueOf(explained)) + "\n";
    } else if (path != "/ready" && path != "/health") {
        head.status = 404;
        body = "not found\n";
    }
    co_await exchange.respond(std::move(head), body);
}

awaitable<void> EntryDaemon::handleControl(HTTP::ServerExchange& exchange)
{
    if (m_usageReporter && exchange.head().target == usagePushPath)
        return m_usageReporter->handle(exchange);
    return m_relay.handle(exchange);
}

awaitable<void> EntryDaemon::waitForSignals()
{
    while (true) {
        auto const [error, signal] = co_await m_signals.async_wait(HTTP::useTuple);
        if (error)
            co_return;
        Telemetry::EventLine("signal").add("number", signal).add("active_requests", m_state.activeRequests).logInfo();
        if (signal == SIGHUP) {
            reloadSettings();
            continue;
        }
        if (m_state.isShuttingDown)
            continue;
        m_state.isShuttingDown = true;
        asio::co_spawn(m_context, shutDown(), asio::detached);
    }
}

awaitable<void> EntryDaemon::shutDown()
{
    // The platform's balancer sends callers until it notices that this daemon is not ready. From now on each response
    // closes its connection.
    auto const until = Core::monotonicNow() + m_settings.grace.value_or(defaultGrace) - exitReserve;
    m_state.stopsServingAt = until;
    m_callerServer->closeAfterResponses();
    co_await pause(m_settings.balancerLag);
    m_callerServer->stopAccepting();
    m_callerServer->closeIdleConnections();
    auto const shouldWait = [this, until] {
        bool const isServing = m_state.activeRequests > 0 || m_callerServer->deliveringConnections() > 0;
        return isServing && Core::monotonicNow() < until;
    };
    while (shouldWait())
        co_await pause(shutdownPollInterval);
    co_await pause(lastRequestsGrace);
    m_callerServer->closeIdleConnections();
    while (shouldWait())
        co_await pause(shutdownPollInterval);
    if (m_state.activeRequests > 0) {
        Telemetry::EventLine("requests_given_up").add("active_requests", m_state.activeRequests).logWarning();
        auto const signals = m_state.activeStopSignals;
        for (auto* const signal : signals) {
            if (m_state.activeStopSignals.contains(signal))
                signal->stop(Core::ErrorKind::ShuttingDown);
        }
        co_await pause(lastResponsesTime);
    }
    if (m_usageReporter)
        co_await m_usageReporter->pushBeforeExit(std::clamp(
            (until - Core::monotonicNow()) / lastCountsAttempts, minLastCountsTimeout, maxLastCountsTimeout));
    Telemetry::EventLine("shutdown_finished")
        .add("active_requests", m_state.activeRequests)
        .add("undelivered_responses", m_callerServer->deliveringConnections())
        .logInfo();
    m_context.stop();
}

}
