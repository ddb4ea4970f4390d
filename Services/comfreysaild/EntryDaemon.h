#pragma once

#include "DaemonSettings.h"
#include "EntryHandler.h"
#include "StoreFollower.h"
#include <boost/asio/signal_set.hpp>

namespace Comfreysail::Daemon {

/// The daemon on a platform whose targets register themselves. It runs on one thread, as its VM has one core, and owns
/// all parts from start to graceful shutdown.
class EntryDaemon {
public:
    explicit EntryDaemon(DaemonSettings);
    EntryDaemon(EntryDaemon const&) = delete;
    EntryDaemon& operator=(EntryDaemon const&) = delete;

    /// Serves until a signal ends it, and returns the exit code.
    int run();

private:
    Core::Result<Core::Empty> start();
    HTTP::ServerOptions serverOptions(ListenAddress const&) const;
    HTTP::awaitable<void> answerAdmin(HTTP::ServerExchange&);
    HTTP::awaitable<void> sweepLoop();
    /// Tells the other daemons, through the store, that the target instance crashed while it ran the request.
    HTTP::awaitable<void> reportCrash(uint64_t fingerprint, std::string targetInstance);
    HTTP::awaitable<void> waitForSignals();
    HTTP::awaitable<void> shutDown();
    HTTP::awaitable<void> pause(Core::Duration);
    bool isReady() const;
    std::string statusJson() const;

    DaemonSettings m_settings;
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
