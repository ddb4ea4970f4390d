#pragma once

#include "EntryState.h"
#include <LibHTTP/HTTP.h>
#include <boost/asio/io_context.hpp>
#include <functional>

namespace Comfreysail::Daemon {

/// Probes targets for their load right before a send, since older load reports are misleading.
class LoadProber {
public:
    LoadProber(boost::asio::io_context&, HTTP::ConnectionPool&, EntryState&);

    /// Probes all targets concurrently. Returns once all probes have ended, `isSatisfied` returns true after one of
    /// them, or `longestWait` has passed. Later responses are still recorded in the directory.
    HTTP::awaitable<void> probe(std::vector<std::string> const& targets, std::string healthPath,
        Core::Duration longestWait, std::function<bool()> isSatisfied);

    /// Probes the target on a new connection. True if it responds in time.
    HTTP::awaitable<bool> isResponding(Traffic::RegisteredTarget, std::string healthPath);

private:
    struct Round;

    HTTP::awaitable<void> probeOne(std::string target, std::string healthPath, std::shared_ptr<Round>);
    HTTP::awaitable<bool> exchange(std::shared_ptr<HTTP::ClientConnection>, Traffic::RegisteredTarget const&,
        std::string const& healthPath, Core::Instant deadline);
    void noteAnswer(Traffic::RegisteredTarget const&, HTTP::ResponseHead const&);

    boost::asio::io_context& m_context;
    HTTP::ConnectionPool& m_pool;
    EntryState& m_state;
};

}
