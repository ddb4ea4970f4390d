#pragma once

#include "EntryState.h"
#include "LoadAsker.h"
#include "StopSignal.h"
#include <random>

namespace Comfreysail::Daemon {

struct EntryRequest;

/// Forwards the requests of callers to targets that registered themselves.
class EntryHandler {
public:
    using ReportCrash = std::function<void(uint64_t fingerprint, std::string targetInstance)>;

    EntryHandler(HTTP::ConnectionPool&, LoadAsker&, EntryState&, std::string vmName, std::string ownZone, ReportCrash);

    HTTP::awaitable<void> handle(HTTP::ServerExchange&);

private:
    HTTP::awaitable<Core::Result<Core::Empty>> prepare(EntryRequest&);
    HTTP::awaitable<void> forward(EntryRequest&);
    /// Errors: NoTargetAvailable, or the reason of the stop signal.
    HTTP::awaitable<Core::Result<Traffic::RegisteredTarget>> selectTarget(EntryRequest&);
    /// One pass over at most three rounds of questions.
    HTTP::awaitable<Core::Result<Traffic::RegisteredTarget>> askAndChoose(
        EntryRequest&, std::string const& healthPath, Traffic::PlacementRequest const&);
    Traffic::PlacementRequest placementOf(EntryRequest const&);
    std::vector<Traffic::TargetRecord const*> eligibleTargets(EntryRequest const&) const;
    /// Sends once. Returns what decides whether to send again; the response stays in the request.
    HTTP::awaitable<Traffic::AnswerVerdict> sendOnce(EntryRequest&, Traffic::RegisteredTarget const&);
    HTTP::awaitable<std::shared_ptr<HTTP::ClientConnection>> connect(EntryRequest&, HTTP::Endpoint const&);
    HTTP::awaitable<Traffic::AnswerVerdict> receive(
        EntryRequest&, Traffic::RegisteredTarget const&, std::shared_ptr<HTTP::ClientConnection> const&);
    HTTP::awaitable<bool> readBody(EntryRequest&, HTTP::ClientConnection&);
    HTTP::awaitable<void> deliver(EntryRequest&);
    HTTP::awaitable<void> refuse(EntryRequest&, Core::Error const&);
    bool maySendAgain(EntryRequest&, Traffic::AnswerVerdict, Core::Instant now);
    void noteEvidence(EntryRequest const&, Traffic::RegisteredTarget const&, Traffic::AnswerVerdict);
    void noteFault(EntryRequest const&, Traffic::RegisteredTarget const&, Traffic::AnswerVerdict);
    /// A connection that is lost while a request runs may mean that the request crashed its target.
    HTTP::awaitable<void> confirmCrash(uint64_t fingerprint, Traffic::RegisteredTarget, std::string healthPath);
    std::optional<Traffic::RegisteredTarget> coldTarget(EntryRequest const&);
    double uniform();

    HTTP::ConnectionPool& m_pool;
    LoadAsker& m_asker;
    EntryState& m_state;
    std::string m_vmName;
    std::string m_ownZone;
    ReportCrash m_reportCrash;
    std::mt19937_64 m_generator { std::random_device {}() };
};

}
