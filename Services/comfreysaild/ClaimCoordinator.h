#pragma once

#include "RequestContext.h"
#include <LibClaims/Claims.h>
#include <LibStore/Store.h>
#include <mutex>
#include <unordered_map>

namespace Comfreysail::Daemon {

/// Acquires and updates the claims of requests in batched transactions on the table service. Thread safe. Its lock has
/// the level "claim batch" of design.md and is never held during a store call.
class ClaimCoordinator : public std::enable_shared_from_this<ClaimCoordinator> {
public:
    ClaimCoordinator(Store::StorePort, std::string holderName);

    /// Waits for the answer to the request's claim. If the claim is granted, the context holds it until finish().
    HTTP::awaitable<Claims::ClaimAnswer> acquire(RequestContext&);

    /// Must be called before each send of a request with a claim. After an error the request must not be sent.
    Core::Result<Core::Empty> noteSendStarted(RequestContext const&);

    void noteEvent(RequestContext const&, Claims::ClaimEvent const&);

    /// Ends the request's use of its claim. Releases the claim's row if the request certainly did not run.
    void finish(RequestContext&);

    /// Times out waiting requests and retries store calls that are due.
    void tick();

    /// True if no claim is waiting and no store call is in flight.
    bool isIdle() const;

private:
    struct Waiter;

    void deliver(std::vector<Claims::ClaimDelivery> const&);
    void startDueBatch();
    void run(Claims::ClaimBatch const&);
    void readRows(Claims::ClaimBatch const&);
    void complete(uint64_t batchId, Claims::BatchResult const&);

    Store::StorePort const m_store;
    mutable std::mutex m_mutex;
    Claims::ClaimBatcher m_batcher;
    std::unordered_map<Claims::ClaimToken, std::shared_ptr<Waiter>> m_waiters;
};

/// True if the request must have a claim before it is sent.
bool needsClaim(RequestContext const&);

}
