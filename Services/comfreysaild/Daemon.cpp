#include "Daemon.h"

#include "CommandLine.h"
#include "ListenerOptions.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <csignal>
#include <fstream>
#include <iterator>
#include <platform/RowStore.h>
#include <random>
#include <thread>

namespace Comfreysail::Daemon {

namespace asio = boost::asio;
using Core::Empty;
using Core::Result;
using HTTP::awaitable;

namespace {

// Interval at which queue deadlines and limits that rise with time (cold targets) are checked.
constexpr auto tickInterval = std::chrono::milliseconds(20);
constexpr auto shutdownPollInterval = std::chrono::milliseconds(20);
// Time in which requests that were still being received when the last in-flight request ended get their refusal.
constexpr auto lastRequestsGrace = std::chrono::milliseconds(100);
constexpr auto startTimeout = std::chrono::seconds(5);
constexpr auto leaveNoticeDelay = std::chrono::milliseconds(100);
constexpr auto claimFlushTimeout = std::chrono::seconds(5);
constexpr unsigned ticksBetweenPoolSweeps = 100;

Store::StorePort storePort(DaemonSettings const& settings, asio::io_context& context, Store::MemoryStore& memoryStore)
{
    if (settings.settingsFile || !settings.platform)
        return memoryStore.port();
    Store::HttpStoreOptions options;
    options.address = settings.platform->address;
    options.port = settings.platform->port;
    return Platform::makeStorePort(context.get_executor(), options);
}

ControlPlaneOptions controlPlaneOptions(DaemonSettings const& settings)
{
    ControlPlaneOptions options;
    options.name = settings.vmName;
    options.availabilityZone = settings.availabilityZone;
    options.address = settings.control.address;
    options.peerHttpPort = settings.peer.port;
    options.peerMessagePort = settings.control.port;
    options.seeds = settings.seeds;
    options.peerBytesPerSecond = std::min(options.peerBytesPerSecond, settings.measurementBytesPerSecond);
    return options;
}

/// Loads the settings tree from a file into the memory store, which replaces the platform's store for the control
/// plane.
Result<Empty> loadSettingsFile(DaemonSettings const& settings, Store::MemoryStore& store)
{
    std::ifstream stream(*settings.settingsFile, std::ios::binary);
    if (!stream)
        return Core::Error { Core::ErrorKind::InvalidSettings, *settings.settingsFile + ": cannot read the file" };
    std::string toml { std::istreambuf_iterator<char>(stream), {} };
    auto parsed = Settings::parseSettings(toml, *settings.settingsFile);
    if (auto const* const faults = std::get_if<Settings::SettingsFaults>(&parsed))
        return Settings::toError(*faults);
    store.setVms({ { settings.vmName, settings.peer.address, settings.availabilityZone, Store::Vm::State::Live } });
    Result<Store::ApplyResult> applied = Core::Error {};
    // The memory store invokes the callback before applyChange() returns.
    Store::applyChange(store.port(), { "settings-file", std::move(toml), 0 }, Core::monotonicNow() + startTimeout,
        [&](Result<Store::ApplyResult> result) { applied = std::move(result); });
    if (isError(applied))
        return errorOf(applied);
    return Empty {};
}

/// Returns a holder name that is unique for each start, so that a daemon does not take its predecessor's claims for its
/// own.
std::string holderName(DaemonSettings const& settings)
{
    std::random_device random;
    return settings.vmName + "-" + std::to_string(Core::toUnixMilliseconds(Core::wallNow())) + "-"
        + std::to_string(random());
}

}

Daemon::Daemon(DaemonSettings settings)
    : m_settings(std::move(settings))
    , m_context(static_cast<int>(m_settings.workerThreads))
    , m_pool(m_context, poolOptions(m_settings))
    , m_upstream(m_pool, m_settings.limits)
    , m_store(storePort(m_settings, m_context, m_memoryStore))
    , m_controlPlane(m_context, controlPlaneOptions(m_settings), m_store, peerEvents())
    , m_routing(m_controlPlane, m_settings)
    , m_loads(m_routing, m_controlPlane, m_settings, Core::monotonicNow())
    , m_claims(std::make_shared<ClaimCoordinator>(m_store, holderName(m_settings)))
    , m_services { m_settings, m_controlPlane, m_routing, m_upstream, m_retries, m_crashes, *m_claims, m_metrics }
    , m_handler(m_services)
    , m_admin(m_services, [this] { return isReady(); })
    , m_signals(m_context, SIGTERM, SIGINT)
{
}

Daemon::~Daemon() = default;

PeerEvents Daemon::peerEvents()
{
    PeerEvents events;
    events.onCrash = [this](CrashNotice const& notice) {
        m_retries.noteCrash({ notice.fingerprint, notice.target }, Core::monotonicNow());
    };
    events.onLoad = [this](LoadNotice const& notice) { m_loads.noteReceived(notice, Core::monotonicNow()); };
    events.onSettings = [this] { m_routing.refresh(Core::monotonicNow()); };
    return events;
}

Result<Empty> Daemon::start()
{
    if (m_settings.settingsFile) {
        if (auto loaded = loadSettingsFile(m_settings, m_memoryStore); isError(loaded))
            return loaded;
    }
    if (auto started = m_controlPlane.start(); isError(started))
        return started;
    auto const handlerFor = [this](Origin origin) {
        return [this, origin](HTTP::ServerExchange& exchange) { return m_handler.handle(exchange, origin); };
    };
    m_callerServer
        = HTTP::Server::create(m_context, serverOptions(m_settings, m_settings.caller), handlerFor(Origin::Caller));
    m_peerServer
        = HTTP::Server::create(m_context, serverOptions(m_settings, m_settings.peer), handlerFor(Origin::Peer));
    m_adminServer = HTTP::Server::create(m_context, serverOptions(m_settings, m_settings.admin),
        [this](HTTP::ServerExchange& exchange) { return m_admin.handle(exchange); });
    for (auto const& server : { m_adminServer, m_peerServer, m_callerServer }) {
        if (auto started = server->start(); isError(started))
            return started;
    }
    return Empty {};
}

int Daemon::run()
{
    if (auto const started = start(); isError(started)) {
        m_controlPlane.stop();
        Telemetry::EventLine("start_failed").add("reason", errorOf(started).detail).logError();
        return errorOf(started).kind == Core::ErrorKind::InvalidSettings ? exitUsage : exitRuntimeFailure;
    }
    logStarted();
    asio::co_spawn(
        asio::make_strand(m_context), [this] { return tickLoop(); }, asio::detached);
    asio::co_spawn(
        asio::make_strand(m_context), [this] { return waitForSignals(); }, asio::detached);
    std::vector<std::jthread> threads;
    for (unsigned thread = 1; thread < m_settings.workerThreads; ++thread)
        threads.emplace_back([this] { m_context.run(); });
    m_context.run();
    return exitSuccess;
}

void Daemon::logStarted() const
{
    Telemetry::EventLine("started")
        .add("vm_name", m_settings.vmName)
        .add("availability_zone", m_settings.availabilityZone)
        .add("caller_port", m_callerServer->port())
        .add("peer_port", m_peerServer->port())
        .add("admin_port", m_adminServer->port())
        .logInfo();
}

bool Daemon::isReady() const { return !m_isShuttingDown && !m_controlPlane.refusal() && m_routing.current()->settings; }

awaitable<void> Daemon::sleepFor(Core::Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(HTTP::useTuple);
}

awaitable<void> Daemon::tickLoop()
{
    for (unsigned tick = 0;; ++tick) {
        co_await sleepFor(tickInterval);
        auto const now = Core::monotonicNow();
        m_routing.refresh(now);
        m_routing.tick(now);
        m_claims->tick();
        m_loads.tick(now);
        if (tick % ticksBetweenPoolSweeps == 0)
            m_pool.closeExpired(now);
    }
}

awaitable<void> Daemon::waitForSignals()
{
    auto const [error, signal] = co_await m_signals.async_wait(HTTP::useTuple);
    if (error)
        co_return;
    Telemetry::EventLine("shutdown_started").add("signal", signal).logInfo();
    asio::co_spawn(
        co_await asio::this_coro::executor, [this] { return shutDown(); }, asio::detached);
    while (true) {
        auto const [nextError, next] = co_await m_signals.async_wait(HTTP::useTuple);
        if (nextError)
            co_return;
        Telemetry::EventLine("shutdown_continues")
            .add("signal", next)
            .add("active_requests", m_services.activeRequests.load())
            .logInfo();
    }
}

awaitable<void> Daemon::shutDown()
{
    m_isShuttingDown = true;
    m_controlPlane.beginDrain();
    co_await sleepFor(m_settings.balancerLag);
    m_callerServer->closeAfterResponses();
    m_peerServer->closeAfterResponses();
    m_services.refusesNewRequests = true;
    while (m_services.activeRequests > 0)
        co_await sleepFor(shutdownPollInterval);
    m_callerServer->stopAccepting();
    m_peerServer->stopAccepting();
    m_callerServer->closeIdleConnections();
    m_peerServer->closeIdleConnections();
    co_await sleepFor(lastRequestsGrace);
    auto const isServing = [this] {
        return m_services.activeRequests > 0 || m_callerServer->deliveringConnections() > 0
            || m_peerServer->deliveringConnections() > 0;
    };
    while (isServing())
        co_await sleepFor(shutdownPollInterval);
    // Wait for the store writes that record the results of the last requests with a claim.
    auto const claimsUntil = Core::monotonicNow() + claimFlushTimeout;
    while (!m_claims->isIdle() && Core::monotonicNow() < claimsUntil)
        co_await sleepFor(shutdownPollInterval);
    m_controlPlane.leave();
    co_await sleepFor(leaveNoticeDelay);
    m_controlPlane.stop();
    Telemetry::EventLine("shutdown_finished").logInfo();
    m_context.stop();
}

}
