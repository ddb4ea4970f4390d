#pragma once

#include "EntryState.h"
#include <LibHTTP/Asio.h>
#include <boost/asio/io_context.hpp>
#include <platform/Platform.h>

namespace Comfreysail::Daemon {

/// Keeps the entry state up to date from the platform's store: the operators' settings, the targets, and the moves
/// between versions with their results.
class StoreFollower {
public:
    StoreFollower(boost::asio::io_context&, Platform::StoreClient&, EntryState&, std::string vmName);

    void start();

private:
    HTTP::awaitable<void> followOperators();
    HTTP::awaitable<void> followTargets();
    HTTP::awaitable<void> followMoves();
    HTTP::awaitable<void> pause(Core::Duration);
    HTTP::awaitable<std::optional<std::vector<Platform::StoreRow>>> readTable(
        std::string_view table, std::string_view part);

    void adoptOperatorRows(std::vector<Platform::StoreRow> const&);
    void adoptPlan(Platform::StoreRow const&);
    void adoptMoves(std::vector<Traffic::VersionMove> const&);
    void adoptTargets(std::vector<Platform::StoreRow> const&);
    HTTP::awaitable<void> exchangeEvidence(std::string service);
    HTTP::awaitable<void> readResults();
    HTTP::awaitable<void> decide(std::string service);
    HTTP::awaitable<void> writeResult(std::string service, Traffic::MoveState);
    void noteStore(std::string_view table, bool isReachable, std::string_view reason);

    boost::asio::io_context& m_context;
    Platform::StoreClient& m_client;
    EntryState& m_state;
    std::string m_vmName;
    std::map<std::string, bool, std::less<>> m_isReachable;        ///< By table.
    std::map<std::string, uint64_t, std::less<>> m_newestRevision; ///< By table and part; older answers are dropped.
    std::map<std::string, uint64_t, std::less<>>
        m_refusedRows; ///< Rows that cannot be read, logged once for a revision.
    std::map<std::string, std::string, std::less<>> m_writtenEvidence; ///< By service.
};

}
