#pragma once

#include "Invocation.h"
#include <LibStore/HttpCaller.h>
#include <LibStore/StorePort.h>
#include <future>
#include <memory>
#include <string>
#include <vector>

namespace Comfreysail::Tool {

/// Gives commands blocking calls to the store and to daemons. Owns the thread that runs the connections.
class ToolContext {
public:
    enum class Method : uint8_t { Get, Post };

    explicit ToolContext(Invocation const&);
    ~ToolContext();
    ToolContext(ToolContext const&) = delete;
    ToolContext& operator=(ToolContext const&) = delete;

    Invocation const& invocation() const { return m_invocation; }

    /// Usable only if --platform was given.
    Store::StorePort const& store() const { return m_store; }

    /// The end of the command's --timeout.
    Core::Instant deadline() const { return m_deadline; }

    /// Deadline of a single call: short enough that a failed call can be retried before deadline().
    Core::Instant callDeadline() const;

    /// Calls the admin ports of all daemons in parallel and waits for all results. Results have the order of the
    /// daemons. A status other than 200 is the error PeerUnavailable.
    std::vector<Core::Result<std::string>> callDaemons(std::vector<HostPort> const&, Method, std::string const& path,
        std::string const& body, Core::Instant deadline) const;

    /// Sends a GET to the admin port of one daemon. `authorization` is the value of the Authorization field, or empty.
    /// Errors: PeerUnavailable if the daemon cannot be reached or answers 500 or above.
    Core::Result<Store::HttpCaller::Answer> readFromDaemon(
        HostPort const&, std::string const& path, std::string const& authorization, Core::Instant deadline) const;

    /// Starts an asynchronous call and waits for its callback. Returns the callback's argument.
    template<typename T, typename Start> static Core::Result<T> await(Start start)
    {
        // Shared ownership, because the network thread may still be in set_value() when this function returns.
        auto const promise = std::make_shared<std::promise<Core::Result<T>>>();
        auto future = promise->get_future();
        start([promise](Core::Result<T> result) { promise->set_value(std::move(result)); });
        return future.get();
    }

private:
    struct Network;

    Invocation const& m_invocation;
    Core::Instant m_deadline;
    std::unique_ptr<Network> m_network;
    Store::StorePort m_store;
};

}
