#pragma once

#include "RequestContext.h"
#include <LibClaims/Claims.h>
#include <LibStore/Store.h>
#include <mutex>
#include <unordered_map>

namespace Comfreysail::Daemon {

/// Connects the requests that need a claim with the claim batches and the table service. Thread safe; lock level
/// "claim batch" of design.md, never held while the store is called.
class ClaimGate : public std::enable_shared_from_this<ClaimGate> {
public:
    ClaimGate(Store::StorePort, std::string holderName);

    /// Waits until the claim of the request is decided. When it is granted, the context holds it until settle().
    HTTP::awaitable<Claims::ClaimAnswer> acquire(RequestContext&);

    /// Must precede each send of a request with a claim. An error means that it must not be sent.
    Core::Result<Core::Empty> noteSendStarted(RequestContext const&);

    void note(RequestContext const&, Claims::ClaimEvent const&);

    /// Ends the request's use of its claim. Releases the row when the request surely did not run.
    void settle(RequestContext&);

    /// Ends waits whose time is over, and retries store calls that are due.
    void tick();

    /// Nothing is waiting or under way at the table service.
    bool isIdle() const;

private:
    struct Waiter;

    void deliver(std::vector<Claims::ClaimDelivery> const&);
    void pump();
    void run(Claims::ClaimBatch const&);
    void readRows(Claims::ClaimBatch const&);
    void complete(uint64_t batchId, Claims::BatchResult const&);

    Store::StorePort const m_store;
    mutable std::mutex m_mutex;
    Claims::ClaimBatcher m_batcher;
    std::unordered_map<Claims::ClaimToken, std::shared_ptr<Waiter>> m_waiters;
};

/// True when the request must have a claim before it is sent.
bool needsClaim(RequestContext const&);

}
