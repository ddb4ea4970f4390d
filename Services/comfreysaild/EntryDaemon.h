#pragma once

#include "DaemonSettings.h"
#include "EntryHandler.h"
#include "StoreFollower.h"
#include <boost/asio/signal_set.hpp>
#include <filesystem>

namespace Comfreysail::Daemon {

/// The daemon on a platform whose targets register themselves. It runs on one thread, as its VM has one core, and owns
/// all parts from start to graceful shutdown.
class EntryDaemon {
public:
    /// The settings file is read again when it changes and at SIGHUP.
    EntryDaemon(DaemonSettings, std::string settingsPath);
    EntryDaemon(EntryDaemon const&) = delete;
    EntryDaemon& operator=(EntryDaemon const&) = delete;

    /// Serves until a signal ends it, and returns the exit code.
    int run();

private:
    Core::Result<Core::Empty> start();
    HTTP::awaitable<void> answerAdmin(HTTP::ServerExchange&);
    HTTP::awaitable<void> sweepLoop();
    /// Tells the other daemons, through the store, that the target instance crashed while it ran the request.
    HTTP::awaitable<void> reportCrash(uint64_t fingerprint, std::string targetInstance);
    HTTP::awaitable<void> waitForSignals();
    HTTP::awaitable<void> shutDown();
    HTTP::awaitable<void> pause(Core::Duration);
    /// Takes over what may change while the daemon runs: seeds, retries, balancer lag and grace time. A file with a
    /// fault changes nothing.
    void reloadSettings();
    void reloadChangedFile();
    bool isReady() const;
    std::string statusJson() const;

    DaemonSettings m_settings;
    std::string m_settingsPath;
    std::filesystem::file_time_type m_settingsFileTime {};
    boost::asio::io_context m_context;
    EntryState m_state;
    HTTP::ConnectionPool m_pool;
    Platform::StoreClient m_store;
    RowAdopter m_adopter;
    StoreReader m_reader;
    Relay m_relay;
    MoveKeeper m_moveKeeper;
    StoreFollower m_follower;
    LoadAsker m_asker;
    EntryHandler m_handler;
    std::shared_ptr<HTTP::Server> m_callerServer;
    std::shared_ptr<HTTP::Server> m_relayServer;
    std::shared_ptr<HTTP::Server> m_adminServer;
    boost::asio::signal_set m_signals;
};

}
