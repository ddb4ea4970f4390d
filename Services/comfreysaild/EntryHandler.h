#pragma once

#include "CrashReporter.h"
#include "EntryMetrics.h"
#include "EntryState.h"
#include "RequestReceiver.h"
#include "ResponseSender.h"
#include "TargetExchange.h"
#include "TargetSelector.h"

namespace Comfreysail::Daemon {

/// Forwards callers' requests to targets that registered themselves in the platform's store. Not thread safe.
class EntryHandler {
public:
    EntryHandler(
        boost::asio::io_context&, HTTP::ConnectionPool&, LoadProber&, EntryState&, std::string ownZone, CrashReporter&);

    /// Serves one request: responds to the caller or closes its connection.
    HTTP::awaitable<void> handle(HTTP::ServerExchange&);

private:
    HTTP::awaitable<void> forward(EntryRequest&);
    /// Sends the last response, which came from this target, to the caller.
    HTTP::awaitable<void> deliver(EntryRequest&, Traffic::RegisteredTarget, Traffic::ResponseVerdict);
    /// Drops the last response, of which a part may still have to be read.
    void dropResponse(EntryRequest&);
    bool mayRetry(EntryRequest&, Traffic::ResponseVerdict, Core::Instant now);
    void noteSend(EntryRequest&, Traffic::RegisteredTarget const&);
    void noteEvidence(EntryRequest const&, Traffic::RegisteredTarget const&, Traffic::ResponseVerdict);
    void noteFault(EntryRequest const&, Traffic::RegisteredTarget const&, Traffic::ResponseVerdict);
    void noteAnswered(EntryRequest&);
    /// Counts a response that its target cut off while it was passed on against the version of the target.
    void noteCutOffEvidence(Traffic::RegisteredTarget const&);
    /// Finds out whether the last send crashed its target, if its connection was lost.
    void checkForCrash(EntryRequest&, Traffic::RegisteredTarget const&);
    /// Reports a crash if the process of a target whose connection was lost during a request has ended, and the request
    /// was not answered by another target meanwhile.
    HTTP::awaitable<void> confirmCrash(
        uint64_t fingerprint, Traffic::RegisteredTarget, std::shared_ptr<bool const> wasAnswered);

    HTTP::ConnectionPool& m_pool;
    LoadProber& m_prober;
    EntryState& m_state;
    EntryMetrics m_metrics;
    std::string m_ownZone;
    TargetSelector m_selector;
    TargetExchange m_exchange;
    RequestReceiver m_receiver;
    ResponseSender m_sender;
    CrashReporter& m_crashReporter;
};

}
