#pragma once

#include "DaemonServices.h"
#include "GroupChoice.h"
#include "ResumableBody.h"

namespace Comfreysail::Daemon {

/// Result of processing a request on this daemon.
struct ForwardResult {
    enum class Kind : uint8_t {
        Answered,     ///< The caller got a response, or its connection was reset.
        Refused,      ///< The caller has to be sent `error`.
        TryOtherZone, ///< Another availability zone may serve the request; if none does, the caller has to be sent
                      ///< `error`.
    };

    Kind kind { Kind::Answered };
    Core::Error error {};
};

/// The group and target that currently serve a request.
struct SendDestination {
    GroupChoice choice;
    DispatchedRequest dispatched;
    /// selectNext() admitted the request to another group, which has to be told when it is finished.
    bool isAdmittedForResume { false };
};

/// Sends requests to the targets of a group. Covers admission, target selection, retries and resumed downloads.
class TargetSender {
public:
    explicit TargetSender(DaemonServices&);

    HTTP::awaitable<ForwardResult> run(RequestContext&, GroupChoice const&);

private:
    HTTP::awaitable<std::optional<ForwardResult>> acquireClaim(RequestContext&);
    HTTP::awaitable<ForwardResult> sendWithRetries(RequestContext&, GroupChoice const&, DispatchedRequest&);
    HTTP::awaitable<ForwardResult> sendOnce(RequestContext&, GroupChoice const&, DispatchedRequest&);
    HTTP::awaitable<Core::Result<UpstreamResponse>> sendTo(
        RequestContext&, GroupChoice const&, DispatchedRequest&, HTTP::RequestHead);
    /// Abandons a response that was not read completely, and stops the upload if it still runs.
    HTTP::awaitable<void> abandonSend(RequestContext&, UpstreamResponse&);
    HTTP::awaitable<Core::Error> drainShedResponse(RequestContext&, UpstreamResponse&);
    HTTP::awaitable<bool> resume(RequestContext&, SendDestination&, UpstreamResponse&, ResumableBody const&);
    /// Ends the send that lost its connection and selects another target, in another availability zone if necessary.
    /// False if there is none.
    HTTP::awaitable<bool> selectNext(RequestContext&, SendDestination&);
    Retry::RetryDecision decideRetry(RequestContext const&, Core::Error const&);
    bool hasOtherZone(RequestContext&, GroupChoice const&);
    void noteClaim(RequestContext const&, Core::Error const&, bool mayHaveRun);
    void reportEvidence(RequestContext const&, GroupChoice const&, DispatchedRequest const&, Routing::SendOutcome,
        Routing::LoadHint const&);
    void noteCrash(CrashTracker::Send const&, Core::Instant now);

    DaemonServices& m_services;
};

}
