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

    /// The probes on behalf of one request.
    class Session {
    public:
        /// `isSatisfied` is called after each probe and ends the wait when it returns true.
        /// If no target is left because the probed ones did not respond in time, responses are waited for until
        /// `lateUntil`.
        Session(boost::asio::io_context&, std::function<bool()> isSatisfied, Core::Instant lateUntil);
        ~Session();
        Session(Session const&) = delete;
        Session& operator=(Session const&) = delete;

        bool hasPendingProbes() const;
        /// Ends a wait in probe() or waitForPending().
        void stopWaiting();

    private:
        friend class LoadProber;
        struct State;
        std::shared_ptr<State> m_state; ///< Shared with the probes, which may outlive the request.
    };

    /// Probes all targets concurrently. Returns once these probes have ended, the session is satisfied, or
    /// `longestWait` has passed. Later responses are still recorded in the directory.
    HTTP::awaitable<void> probe(
        Session&, std::vector<std::string> const& targets, std::string healthPath, Core::Duration longestWait);

    /// Waits until all probes of the session have ended, the session is satisfied, or `deadline` has passed.
    HTTP::awaitable<void> waitForPending(Session&, Core::Instant deadline);

    /// Tries to connect to the target. True if nothing listens at its address, so that its process has ended. A target
    /// that is full accepts the connection and may reset it then, or leaves it waiting.
    HTTP::awaitable<bool> hasEnded(Traffic::RegisteredTarget);

private:
    enum class Outcome : uint8_t {
        Responded,
        Outdated, ///< The response arrived while this process did not run.
        Failed,
    };

    HTTP::awaitable<void> probeOne(
        std::string target, std::string healthPath, std::shared_ptr<Session::State>, unsigned round);
    /// What was known when a probe began.
    struct ProbeStart {
        Core::Instant at;
        unsigned pauses { 0 };    ///< Number of pauses of this process.
        bool hadFailed { false }; ///< The target had failed and not answered since.
    };

    /// Probes the target until it responds or fails. If it is the last one of its service, its response is waited for
    /// until `lateUntil`.
    HTTP::awaitable<void> probeTarget(Traffic::RegisteredTarget, std::string healthPath, Core::Instant lateUntil);
    void noteFailedProbe(Traffic::RegisteredTarget const&, ProbeStart const&, bool isConnected);
    /// Returns true if the target failed and has not answered since.
    bool hasFailed(Traffic::RegisteredTarget const&) const;
    /// `onDeadline` is that of BufferedGetLimits. A response after it was called ends the target's ejection.
    HTTP::awaitable<Outcome> exchange(std::shared_ptr<HTTP::ClientConnection>, Traffic::RegisteredTarget const&,
        std::string const& healthPath, std::function<std::optional<Core::Instant>()> onDeadline = {});
    /// Returns true if another target can serve the requests of one that does not respond.
    bool hasOtherTarget(Traffic::RegisteredTarget const&) const;
    void noteAnswer(Traffic::RegisteredTarget const&, HTTP::ResponseHead const&, Core::Instant sentAt);

    boost::asio::io_context& m_context;
    HTTP::ConnectionPool& m_pool;
    EntryState& m_state;
};

}
