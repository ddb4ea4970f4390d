#pragma once

#include "AdminHandler.h"
#include "DaemonServices.h"
#include "LoadExchange.h"
#include "RequestHandler.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Comfreysail::Daemon {

/// Owns all components of the daemon and runs it from start to graceful shutdown.
class Daemon {
public:
    explicit Daemon(DaemonSettings);
    ~Daemon();
    Daemon(Daemon const&) = delete;
    Daemon& operator=(Daemon const&) = delete;

    /// Starts the listeners, serves until SIGTERM or SIGINT shuts it down, and returns the exit code.
    int run();

private:
    Core::Result<Core::Empty> start();
    PeerEvents peerEvents();
    HTTP::awaitable<void> tickLoop();
    HTTP::awaitable<void> waitForSignals();
    HTTP::awaitable<void> shutDown();
    HTTP::awaitable<void> sleepFor(Core::Duration);
    bool isReady() const;
    void logStarted() const;

    DaemonSettings m_settings;
    boost::asio::io_context m_context;
    HTTP::ConnectionPool m_pool;
    UpstreamClient m_upstream;
    RetryTable m_retries;
    CrashTracker m_crashes;
    Store::MemoryStore m_memoryStore; ///< Used when the settings tree comes from a file.
    Store::StorePort m_store;
    ControlPlane m_controlPlane;
    RoutingTableOwner m_routing;
    LoadExchange m_loads;
    std::shared_ptr<ClaimCoordinator> m_claims;
    Telemetry::MetricRegistry m_metrics;
    DaemonServices m_services;
    RequestHandler m_handler;
    AdminHandler m_admin;
    std::shared_ptr<HTTP::Server> m_callerServer;
    std::shared_ptr<HTTP::Server> m_peerServer;
    std::shared_ptr<HTTP::Server> m_adminServer;
    boost::asio::signal_set m_signals;
    std::atomic<bool> m_isShuttingDown { false };
};

}
