#pragma once

#include <LibCore/Result.h>
#include <LibPeers/TransportCounters.h>
#include <LibPeers/TransportOptions.h>
#include <LibWire/Message.h>
#include <functional>
#include <memory>
#include <string>

namespace Comfreysail::Peers {

/// Sends and receives messages between daemons. Delivery is best effort: a message to a peer that cannot be reached, or
/// over a full queue, is lost and counted. Messages to one peer arrive in order. Connections are made on demand and
/// again when they break or fall silent.
class Transport {
public:
    /// Called on the transport's own thread; must return soon.
    using Handler = std::function<void(Wire::Message)>;

    Transport(TransportOptions, Handler);
    ~Transport();

    Transport(Transport const&) = delete;
    Transport& operator=(Transport const&) = delete;

    /// Binds the port and starts the thread. Errors: PeerUnavailable.
    Core::Result<Core::Empty> start();
    /// Sends what is queued as far as it goes at once, and ends the thread.
    void stop();

    /// May be called from any thread and never waits. `endpoint` is "address:port". Evidence and load reports give way
    /// to all other messages when the budget is short.
    void send(std::string endpoint, Wire::Message const&);

    TransportCounters counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
