#pragma once

#include "EntryRequest.h"
#include "EntryState.h"

namespace Comfreysail::Daemon {

/// Sends requests to targets and reads their responses.
class TargetExchange {
public:
    TargetExchange(HTTP::ConnectionPool&, EntryState&);

    /// Sends the request once and stores the response in the request. The verdict decides whether to retry.
    HTTP::awaitable<Traffic::ResponseVerdict> sendOnce(EntryRequest&, Traffic::RegisteredTarget const&);

private:
    HTTP::awaitable<std::shared_ptr<HTTP::ClientConnection>> connect(EntryRequest&, HTTP::Endpoint const&);
    HTTP::awaitable<Traffic::ResponseVerdict> receive(
        EntryRequest&, Traffic::RegisteredTarget const&, std::shared_ptr<HTTP::ClientConnection> const&);
    /// Reads the body into the request. True if it is complete or too large to buffer; in the latter case
    /// `streamingConnection` of the request is set.
    void noteTargetSignals(EntryRequest const&, Traffic::RegisteredTarget const&);
    HTTP::awaitable<bool> readBody(EntryRequest&, HTTP::ClientConnection&);

    HTTP::ConnectionPool& m_pool;
    EntryState& m_state;
};

}
