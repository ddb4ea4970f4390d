#pragma once

#include "DaemonServices.h"
#include "GroupChoice.h"
#include "ResumableBody.h"

namespace Comfreysail::Daemon {

/// Result of processing a request on this daemon.
struct ForwardEnd {
    enum class Kind : uint8_t {
        Answered,     ///< The caller got a response, or its connection was reset.
        Refused,      ///< The caller has to be sent `error`.
        TryElsewhere, ///< Another availability zone may serve the request; if none does, the caller has to be sent
                      ///< `error`.
    };

    Kind kind { Kind::Answered };
    Core::Error error {};
};

/// The group and target that currently serve a request.
struct SendDestination {
    GroupChoice choice;
    Dispatched dispatched;
    /// selectNext() admitted the request to another group, which has to be told when it is finished.
    bool isAdmittedForResume { false };
};

/// Sends requests to the targets of a group. Covers admission, target selection, retries and resumed downloads.
class TargetSender {
public:
    explicit TargetSender(DaemonServices&);

    HTTP::awaitable<ForwardEnd> run(RequestContext&, GroupChoice const&);

private:
    HTTP::awaitable<std::optional<ForwardEnd>> acquireClaim(RequestContext&);
    HTTP::awaitable<ForwardEnd> sendWithRetries(RequestContext&, GroupChoice const&, Dispatched&);
    HTTP::awaitable<ForwardEnd> sendOnce(RequestContext&, GroupChoice const&, Dispatched&);
    HTTP::awaitable<Core::Result<Upstream>> sendTo(RequestContext&, GroupChoice const&, Dispatched&, HTTP::RequestHead);
    /// Abandons a response that was not read completely, and stops the upload if it still runs.
    HTTP::awaitable<void> abandonSend(RequestContext&, Upstream&);
    HTTP::awaitable<Core::Error> drainShedResponse(RequestContext&, Upstream&);
    HTTP::awaitable<bool> resume(RequestContext&, SendDestination&, Upstream&, ResumableBody const&);
    /// Ends the send that lost its connection and selects another target, in another availability zone if necessary.
    /// False if there is none.
    HTTP::awaitable<bool> selectNext(RequestContext&, SendDestination&);
    Retry::RetryDecision decideRetry(RequestContext const&, Core::Error const&);
    bool hasOtherZone(RequestContext&, GroupChoice const&);
    void noteClaim(RequestContext const&, Core::Error const&, bool mayHaveRun);
    void reportEvidence(
        RequestContext const&, GroupChoice const&, Dispatched const&, Routing::SendOutcome, Routing::LoadHint const&);
    void noteCrash(CrashTracker::Send const&, Core::Instant now);

    DaemonServices& m_services;
};

}
