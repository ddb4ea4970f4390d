#pragma once

#include "StopSignal.h"
#include <LibHTTP/Asio.h>
#include <LibTraffic/Traffic.h>

namespace Comfreysail::Daemon {

/// The part of a budget for bodies that one request holds until it releases it or ends. Used only on the daemon's
/// thread.
class BodyReservation {
public:
    explicit BodyReservation(Traffic::BodyBudget& budget)
        : m_budget(budget)
    {
    }
    ~BodyReservation();
    BodyReservation(BodyReservation const&) = delete;
    BodyReservation& operator=(BodyReservation const&) = delete;

    /// Reserves memory, and waits for it until the deadline at most. Returns false if there was none by then or the
    /// request was stopped.
    HTTP::awaitable<bool> reserve(size_t bytes, StopSignal&, Core::Instant deadline);
    /// Makes sure that the reservation has at least this size. Does not wait.
    bool growTo(size_t bytes);
    void release();

private:
    Traffic::BodyBudget& m_budget;
    size_t m_bytes { 0 };
};

}
