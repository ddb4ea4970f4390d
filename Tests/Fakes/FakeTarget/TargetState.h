#pragma once

#include "TargetFaults.h"
#include "TargetOptions.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <random>

namespace Comfreysail::Fakes {

/// A request that waits for a slot. Cancelling the timer wakes it up.
struct SlotWaiter {
    explicit SlotWaiter(boost::asio::io_context& context)
        : timer(context, boost::asio::steady_timer::time_point::max())
    {
    }

    boost::asio::steady_timer timer;
    bool isGranted { false };
};

/// State of the target. Not thread-safe.
class TargetState {
public:
    TargetState(boost::asio::io_context&, TargetOptions);

    boost::asio::io_context& context;
    TargetOptions const options;
    TargetFaults faults;
    uint64_t requestCount { 0 };
    uint64_t shedCount { 0 };
    uint64_t lateCount { 0 }; ///< Refused because their start-by time had passed.
    uint64_t cancelledCount { 0 };
    uint64_t coldOverloads { 0 };

    /// Counts a request as in flight. Returns false if it must be shed instead.
    bool enter(Core::Instant now);
    void leave() { --m_inFlight; }

    /// Takes a free slot and returns null, or queues a waiter and returns it.
    std::shared_ptr<SlotWaiter> takeSlot();
    void abandonWait(std::shared_ptr<SlotWaiter> const&);
    void freeSlot();

    /// Records the execution of an order under its idempotency key; called before the order runs.
    void recordExecution(std::string const& key);
    std::string executionsJson() const;

    std::chrono::microseconds drawServiceTime(double meanMilliseconds, Core::Instant now);
    bool failsFast(Core::Instant now) const;
    std::string_view stateName(Core::Instant now) const;
    std::string loadHeader(Core::Instant now);
    std::string loadJson(Core::Instant now);

private:
    bool isCold(Core::Instant now) const;
    /// Concurrent requests that the target can take now; grows to the limit while the target warms up.
    unsigned concurrencyLimit(Core::Instant now) const;
    unsigned reportedInFlight(Core::Instant now);

    unsigned m_inFlight { 0 };
    unsigned m_busySlots { 0 };
    std::deque<std::shared_ptr<SlotWaiter>> m_waiters;
    std::map<std::string, uint64_t> m_executions;
    std::ofstream m_executionsFile;
    std::mt19937_64 m_random;
    Core::Instant m_overloadedUntil;
};

}
