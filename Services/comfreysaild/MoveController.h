#pragma once

#include "Relay.h"
#include "StoreReader.h"

namespace Comfreysail::Daemon {

/// Drives the running moves between versions, on daemons that read the store: collects the evidence of all daemons,
/// judges the new versions, and writes the results to the store for the operators.
class MoveController {
public:
    MoveController(boost::asio::io_context&, StoreReader&, Relay&, RowAdopter&, EntryState&, std::string vmName);

    /// Processes all running moves once. Call it only on a daemon that reads the store.
    HTTP::awaitable<void> advanceMoves();

    /// Judges the running moves by the evidence that arrived here, without the store. Call it on a reader that cannot
    /// reach the store.
    void judgeMoves();

private:
    /// Reads when the running moves have started, and writes it for those of which the store does not say it yet.
    HTTP::awaitable<void> shareStarts();
    HTTP::awaitable<void> writeStart(std::string service);
    HTTP::awaitable<void> exchangeEvidence(std::string service);
    /// Returns true if the new version is judged bad now.
    bool judge(std::string const& service);
    HTTP::awaitable<void> decide(std::string service);
    HTTP::awaitable<void> writeResult(std::string service, Traffic::MoveState);
    HTTP::awaitable<void> pause(Core::Duration);

    boost::asio::io_context& m_context;
    StoreReader& m_reader;
    Relay& m_relay;
    RowAdopter& m_adopter;
    EntryState& m_state;
    std::string m_vmName;
    /// Last evidence text written to the store, by service.
    std::map<std::string, std::string, std::less<>> m_writtenEvidence;
    /// The order whose evidence was read from the store, by service. Before that a daemon that has just started does
    /// not know what the others observed.
    std::map<std::string, uint64_t, std::less<>> m_orderOfReadEvidence;
};

}
