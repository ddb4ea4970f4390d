#pragma once

#include "ControlPlane.h"
#include "ControlView.h"
#include "MoveTable.h"
#include <LibMembership/Membership.h>
#include <LibPeers/Peers.h>
#include <LibStore/Store.h>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <memory>
#include <mutex>

namespace Comfreysail::Daemon {

/// Runs on one strand. All members except the view and the evidence are accessed only on the strand.
class ControlPlane::Implementation : public std::enable_shared_from_this<ControlPlane::Implementation> {
public:
    Implementation(boost::asio::io_context&, ControlPlaneOptions, Store::StorePort const&, PeerEvents);

    Core::Result<Core::Empty> start();
    void stop();
    void setState(Membership::MemberState);
    std::shared_ptr<ControlView const> view() const { return m_view.load(); }
    void reportEvidence(Moves::Observation const&);
    void reportCrash(CrashNotice const&);
    void reportLoad(LoadNotice const&, std::vector<std::string> const& recipients);
    HTTP::awaitable<Core::Result<uint64_t>> pushSettings(Settings::SettingsRevision, std::string toml);
    Peers::TransportCounters counters() const { return m_transport.counters(); }
    uint64_t storeErrors() const { return m_storeErrors; }

private:
    using Heartbeats = std::vector<Membership::OutgoingHeartbeat>;

    template<typename Function> void post(Function function)
    {
        boost::asio::post(m_strand, [self = shared_from_this(), function = std::move(function)]() mutable {
            if (!self->m_isStopped)
                function();
        });
    }
    /// Returns a callback for a store call that runs the function on the strand.
    template<typename T, typename Function> Store::Callback<T> onStrand(Function function)
    {
        return [self = shared_from_this(), function = std::move(function)](Core::Result<T> result) {
            self->post([function, result = std::move(result)]() mutable { function(std::move(result)); });
        };
    }

    void scheduleTick();
    void tick();
    void publish();

    void send(std::string const& endpoint, Wire::Body);
    void send(Heartbeats const&);
    void sendToOverlay(Wire::Body const&);
    void sendToAll(Wire::Body const&);

    void receive(Wire::Message const&);
    void receive(Wire::Message const&, Membership::Heartbeat const&);
    void receive(Wire::Message const&, Wire::SettingsRequest const&);
    void receive(Wire::Message const&, Wire::SettingsReply const&);
    void receive(Wire::Message const&, Wire::LoadReport const&);
    void receive(Wire::Message const&, Wire::CrashReport const&);
    void receive(Wire::Message const&, Moves::EvidenceDelta const&);
    void receive(Wire::Message const&, Wire::MoveVerdict const&);
    void receive(Wire::Message const&, Wire::DrainNotice const&);
    void receive(Wire::Message const&, Wire::MoveRows const&);
    std::optional<std::string> endpointOf(std::string_view name) const;

    void fetchSettings();
    void readStore();
    void endStoreRead(Core::Result<Settings::SettingsSnapshot> const&);
    void adopt(Settings::SettingsSnapshot);
    void pollMoves();
    void pollVms();
    void judgeMoves();
    void writeResults();
    void flushEvidence();
    void noteStoreAnswered(Core::Instant startedAt);
    void noteMovesChanged();
    Moves::MoveScope scopeOf(Moves::Move const&) const;

    boost::asio::io_context& m_context;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_timer;
    ControlPlaneOptions m_options;
    Store::StorePort m_store;
    PeerEvents m_events;
    uint64_t m_incarnation;
    uint64_t m_sequence { 0 };
    std::atomic<bool> m_isStopped { false };

    std::shared_ptr<Settings::SettingsSnapshot const> m_settings;
    Settings::FetchState m_fetch;
    Membership::MemberTable m_table;
    MoveTable m_moves;
    std::map<std::string, Core::Instant> m_nextResultWrites; ///< By move id.
    Core::Instant m_nextMovePoll;
    Core::Instant m_nextVmPoll;
    Core::Instant m_nextJudgement;
    Core::Instant m_nextEvidenceFlush;
    Core::Instant m_nextEvidenceResend; ///< When evidence and verdicts are sent again, because messages may be lost.
    bool m_isMovePollPending { false };
    std::map<std::string, Core::Instant> m_loadSentAt;

    std::mutex m_evidenceMutex; ///< Guards m_evidence. Innermost lock.
    Moves::Evidence m_evidence;
    std::atomic<std::shared_ptr<ControlView const>> m_view;
    std::atomic<uint64_t> m_storeErrors { 0 };
    Peers::Transport m_transport;
};

}
