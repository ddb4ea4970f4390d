#pragma once

#include "EntryMetrics.h"
#include "EntryRequest.h"
#include <random>

namespace Comfreysail::Daemon {

/// Sends the final response to a caller: that of a target, or a refusal. Not thread safe.
class ResponseSender {
public:
    ResponseSender(HTTP::ConnectionPool&, EntryState&);

    /// Delivers the target's response that the request holds.
    /// Returns true if the response is whole, and false if it broke off while it was passed on.
    HTTP::awaitable<bool> deliver(EntryRequest&);
    HTTP::awaitable<void> refuse(EntryRequest&, Core::Error const&);

private:
    /// Passes on a response body that is too large to buffer.
    HTTP::awaitable<bool> stream(EntryRequest&, HTTP::ResponseHead);
    Core::Duration retryAdvice(EntryRequest const&, Core::Instant now);
    double uniform();

    HTTP::ConnectionPool& m_pool;
    EntryState& m_state;
    EntryMetrics m_metrics;
    std::mt19937_64 m_generator { std::random_device {}() };
};

}
