#pragma once

#include "ClientLimitLog.h"
#include "DaemonSettings.h"
#include "EntryHandler.h"
#include "StoreFollower.h"
#include "UsageReporter.h"
#include <boost/asio/signal_set.hpp>
#include <filesystem>

namespace Comfreysail::Daemon {

/// The daemon on a platform whose targets register themselves. Owns all components and runs them from start to graceful
/// shutdown. It uses one thread, as its VM has one core.
class EntryDaemon {
public:
    /// The settings file is reloaded when it changes and on SIGHUP.
    EntryDaemon(DaemonSettings, std::string settingsPath);
    EntryDaemon(EntryDaemon const&) = delete;
    EntryDaemon& operator=(EntryDaemon const&) = delete;

    /// Runs until SIGTERM or SIGINT. Returns the exit code of the process.
    int run();

private:
    Core::Result<Core::Empty> start();
    std::shared_ptr<HTTP::Server> createServer(HTTP::ServerOptions, HTTP::Handler);
    HTTP::awaitable<void> handleAdmin(HTTP::ServerExchange&);
    HTTP::awaitable<void> maintenanceLoop();
    /// Detects pauses of the process.
    HTTP::awaitable<void> tickLoop();
    HTTP::awaitable<void> waitForSignals();
    HTTP::awaitable<void> shutDown();
    HTTP::awaitable<void> handleControl(HTTP::ServerExchange&);
    HTTP::awaitable<void> pause(Core::Duration);
    /// Reloads the settings that may change while the daemon runs: seeds, retries, target subset, balancer lag and
    /// grace time. Keeps the current ones if the file is invalid.
    void reloadSettings();
    void reloadSettingsIfFileChanged();
    bool isReady() const;
    std::string statusJson() const;
    /// Answers where a request would go, for the head of an admin request. Errors: MalformedRequest.
    Core::Result<std::string> explainRouteJson(HTTP::RequestHead const&) const;

    DaemonSettings m_settings;
    std::string m_settingsPath;
    HTTP::ProcessBudget m_budget;
    std::filesystem::file_time_type m_settingsFileTime {};
    boost::asio::io_context m_context;
    EntryState m_state;
    ClientLimitLog m_limitLog;
    HTTP::ConnectionPool m_pool;
    Platform::StoreClient m_store;
    RowAdopter m_adopter;
    StoreReader m_reader;
    Relay m_relay;
    MoveController m_moveController;
    CrashReporter m_crashReporter;
    StoreFollower m_follower;
    std::unique_ptr<UsageReporter> m_usageReporter; ///< nullptr if no usage is reported.
    LoadProber m_prober;
    EntryHandler m_handler;
    std::shared_ptr<HTTP::Server> m_callerServer;
    std::shared_ptr<HTTP::Server> m_relayServer;
    std::shared_ptr<HTTP::Server> m_adminServer;
    boost::asio::signal_set m_signals;
};

}
