#pragma once

#include <LibCore/Result.h>
#include <LibPeers/TransportCounters.h>
#include <LibPeers/TransportOptions.h>
#include <LibWire/Message.h>
#include <functional>
#include <memory>
#include <string>

namespace Comfreysail::Peers {

/// Sends and receives messages between daemons. Delivery is best effort: messages to an unreachable peer can be lost.
/// Messages dropped at a full queue are counted. Messages of one priority to one peer arrive in order. Connections are
/// opened on demand, and reopened when they break or stop responding.
class Transport {
public:
    /// Called on the transport's own thread; must not block.
    using Handler = std::function<void(Wire::Message)>;

    Transport(TransportOptions, Handler);
    ~Transport();

    Transport(Transport const&) = delete;
    Transport& operator=(Transport const&) = delete;

    /// Binds the port and starts the thread. Errors: PeerUnavailable if the port cannot be bound, Internal.
    Core::Result<Core::Empty> start();
    /// Sends the queued messages that the budget allows immediately, and ends the thread.
    void stop();

    /// Queues a message to `endpoint`, given as "address:port". May be called from any thread and does not wait for the
    /// network. Evidence and load reports have a lower priority than all other messages.
    void send(std::string endpoint, Wire::Message const&);

    TransportCounters counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
