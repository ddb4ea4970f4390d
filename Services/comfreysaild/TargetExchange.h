#pragma once

#include "EntryRequest.h"
#include "EntryState.h"

namespace Comfreysail::Daemon {

/// Sends requests to targets and reads their responses.
class TargetExchange {
public:
    TargetExchange(HTTP::ConnectionPool&, EntryState&);

    /// Sends once. Returns what decides whether to send again; the response stays in the request.
    HTTP::awaitable<Traffic::AnswerVerdict> sendOnce(EntryRequest&, Traffic::RegisteredTarget const&);

private:
    HTTP::awaitable<std::shared_ptr<HTTP::ClientConnection>> connect(EntryRequest&, HTTP::Endpoint const&);
    HTTP::awaitable<Traffic::AnswerVerdict> receive(
        EntryRequest&, Traffic::RegisteredTarget const&, std::shared_ptr<HTTP::ClientConnection> const&);
    /// True when the body is complete, or too large to be kept; the connection then stands in the request.
    HTTP::awaitable<bool> readBody(EntryRequest&, HTTP::ClientConnection&);

    HTTP::ConnectionPool& m_pool;
    EntryState& m_state;
};

}
