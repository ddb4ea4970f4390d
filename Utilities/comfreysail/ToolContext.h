#pragma once

#include "Invocation.h"
#include <LibStore/StorePort.h>
#include <future>
#include <memory>
#include <string>
#include <vector>

namespace Comfreysail::Tool {

/// The store and the daemons as blocking calls. Owns the thread that runs their connections.
class ToolContext {
public:
    enum class Method : uint8_t { Get, Post };

    explicit ToolContext(Invocation const&);
    ~ToolContext();
    ToolContext(ToolContext const&) = delete;
    ToolContext& operator=(ToolContext const&) = delete;

    Invocation const& invocation() const { return m_invocation; }

    /// Only with --platform.
    Store::StorePort const& store() const { return m_store; }

    /// When the command gives up.
    Core::Instant deadline() const { return m_deadline; }

    /// Deadline of one call: soon enough for another one before the command gives up.
    Core::Instant callDeadline() const;

    /// Calls every daemon's admin port at the same time. The results have the order of the daemons; a status other than
    /// 200 is an error.
    std::vector<Core::Result<std::string>> callDaemons(std::vector<HostPort> const&, Method, std::string const& path,
        std::string const& body, Core::Instant deadline) const;

    /// Starts a call that ends in a callback and waits for it.
    template<typename T, typename Start> static Core::Result<T> await(Start start)
    {
        // Shared, because the callback's thread may still be inside set_value() when the waiting thread returns.
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
