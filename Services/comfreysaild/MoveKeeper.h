#pragma once

#include "Relay.h"
#include "StoreReader.h"

namespace Comfreysail::Daemon {

/// Follows the running moves between versions on the daemons that read the store: gathers the evidence of all daemons,
/// judges, and tells the operators the result.
class MoveKeeper {
public:
    MoveKeeper(boost::asio::io_context&, StoreReader&, Relay&, RowAdopter&, EntryState&, std::string vmName);

    /// One round. Only to be called by a daemon that reads the store.
    HTTP::awaitable<void> keepMoves();

private:
    HTTP::awaitable<void> exchangeEvidence(std::string service);
    HTTP::awaitable<void> decide(std::string service);
    HTTP::awaitable<void> writeResult(std::string service, Traffic::MoveState);
    HTTP::awaitable<void> pause(Core::Duration);

    boost::asio::io_context& m_context;
    StoreReader& m_reader;
    Relay& m_relay;
    RowAdopter& m_adopter;
    EntryState& m_state;
    std::string m_vmName;
    std::map<std::string, std::string, std::less<>> m_writtenEvidence; ///< By service.
};

}
