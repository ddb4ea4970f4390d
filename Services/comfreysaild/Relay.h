#pragma once

#include "CompressedRows.h"
#include "EntryState.h"
#include <LibHTTP/HTTP.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Comfreysail::Daemon {

/// Result of a request for rows to another daemon.
enum class RelayResult : uint8_t {
    Fresh,      ///< Its rows were read from the store recently.
    Stale,      ///< It responded, but its rows are stale, or older than the own ones.
    Incomplete, ///< After the changes the rows still differ from its rows; another request returns all rows.
    Failed,     ///< No valid response.
};

/// Timing of a request for rows to another daemon.
struct RelayQuery {
    Core::Duration wait {};    ///< How long the other daemon may hold the response until there is a change (long poll).
    Core::Duration timeout {}; ///< After this time the other daemon counts as unresponsive.
    /// After the timeout, a response that is arriving may take this much longer.
    Core::Duration transferTime {};
};

/// Distributes the shared rows from daemon to daemon, in a tree whose roots read the store. Each daemon long-polls one
/// that is closer to the store. The request carries the evidence on moves between versions that the requesting daemon
/// knows, its own and that of the daemons that polled it.
class Relay {
public:
    Relay(boost::asio::io_context&, HTTP::ConnectionPool&, EntryState&, std::string vmName);

    /// Requests the changed rows from the daemon at the endpoint and applies them to the shared rows.
    HTTP::awaitable<RelayResult> poll(std::string member, HTTP::Endpoint, RelayQuery);

    /// Responds to another daemon's request for rows; with 503 while pending responses use too much memory.
    HTTP::awaitable<void> handle(HTTP::ServerExchange&);

    /// Wakes the requests that wait for a change. Call it after each change of the shared rows.
    void noteChange();

private:
    /// `transferTime` is how long the rows were on their way.
    RelayResult applyResponse(std::string const& member, std::string const& body, Core::Duration transferTime);
    std::string evidenceText(std::string const& member, Core::Instant now);
    std::string responseText(Traffic::SharedChanges const&, bool isCompressionAccepted, bool isForNewDaemon,
        CompressedRows::Hashes const& bases);
    /// The hashes of the large texts that this daemon has, separated by commas.
    std::string basesText();
    HTTP::awaitable<void> refuseBusy(HTTP::ServerExchange&);
    HTTP::awaitable<void> sendRows(HTTP::ServerExchange&, HTTP::ResponseHead, std::string const& text);
    bool knowsVerdicts(std::string_view verdictText) const;

    boost::asio::io_context& m_context;
    HTTP::ConnectionPool& m_pool;
    EntryState& m_state;
    std::string m_vmName;
    CompressedRows m_compressedRows;
    uint64_t m_notedOperatorsVersion { 0 }; ///< Of the rows that m_compressedRows has noted.
    std::string m_rowsForNewDaemons;        ///< All rows, compressed; empty if no daemon asked for them yet.
    uint64_t m_rowsForNewDaemonsVersion { 0 };

    size_t m_responseBytesInFlight { 0 }; ///< Size of the responses that are being sent.

    std::string m_evidenceSentTo; ///< The daemon that was polled last; empty if it did not respond.
    uint64_t m_sentEvidenceVersion { 0 };
    Core::Instant m_allEvidenceSentAt {};
    std::set<boost::asio::steady_timer*> m_waitingTimers;
};

}
