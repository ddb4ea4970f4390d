#pragma once

#include "DaemonServices.h"
#include "GroupChoice.h"
#include "ResumableBody.h"

namespace Comfreysail::Daemon {

/// How the work of this daemon on a request ended.
struct ForwardEnd {
    enum class Kind : uint8_t {
        Answered,     ///< The caller has a response, or its connection was reset.
        Refused,      ///< The caller is to get `error`.
        TryElsewhere, ///< Another availability zone may serve the request; otherwise the caller gets `error`.
    };

    Kind kind { Kind::Answered };
    Core::Error error {};
};

/// The group and target that serve a request.
struct SendPlace {
    GroupChoice choice;
    Dispatched dispatched;
    bool isAdmittedForResume { false }; ///< Admitted by selectNext() to another group, and finished there.
};

/// Sends requests to the targets of a group: admission, target selection, retries, resumed downloads.
class TargetSender {
public:
    explicit TargetSender(DaemonServices&);

    HTTP::awaitable<ForwardEnd> run(RequestContext&, GroupChoice const&);

private:
    HTTP::awaitable<std::optional<ForwardEnd>> acquireClaim(RequestContext&);
    HTTP::awaitable<ForwardEnd> sendUntilDecided(RequestContext&, GroupChoice const&, Dispatched&);
    HTTP::awaitable<ForwardEnd> sendOnce(RequestContext&, GroupChoice const&, Dispatched&);
    HTTP::awaitable<Core::Result<Upstream>> sendTo(RequestContext&, GroupChoice const&, Dispatched&, HTTP::RequestHead);
    /// Gives up a response that was not read to its end, and the rest of the upload.
    HTTP::awaitable<void> endEarly(RequestContext&, Upstream&);
    HTTP::awaitable<Core::Error> takeShedResponse(RequestContext&, Upstream&);
    HTTP::awaitable<bool> resume(RequestContext&, SendPlace&, Upstream&, ResumableBody const&);
    /// Ends the send that lost its connection and selects another target, if need be in another availability zone.
    HTTP::awaitable<bool> selectNext(RequestContext&, SendPlace&);
    Retry::RetryDecision decideRetry(RequestContext const&, Core::Error const&);
    bool hasOtherZone(RequestContext&, GroupChoice const&);
    void noteClaim(RequestContext const&, Core::Error const&, bool mayHaveRun);
    void reportEvidence(
        RequestContext const&, GroupChoice const&, Dispatched const&, Routing::SendOutcome, Routing::LoadHint const&);
    void noteCrash(CrashTracker::Send const&, Core::Instant now);

    DaemonServices& m_services;
};

}
