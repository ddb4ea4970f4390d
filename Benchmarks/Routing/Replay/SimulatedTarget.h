#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace Comfreysail::RoutingReplay {

/// A target that runs requests in arrival order in its slots. Its speed may change while they run.
class SimulatedTarget {
public:
    /// A request that the target runs or has queued.
    struct Job {
        size_t request { 0 };
        double work { 0 }; ///< Remaining, in microseconds at full speed.
        Core::Instant startBy;
    };

    void add(Job, Core::Instant now);
    void setSlow(bool isSlow, Core::Instant now);

    /// Makes the target run at a fifth of its speed until it has completed 30 requests.
    void becomeCold(Core::Instant now);

    /// Returns when the next request ends if nothing changes, or std::nullopt if none is running.
    std::optional<Core::Instant> nextEnd() const;

    /// Removes and returns a request that has ended by now, if there is one.
    std::optional<size_t> takeEnded(Core::Instant now);

    /// Removes and returns a request whose start deadline passed before a slot was free, if there is one.
    std::optional<size_t> takeExpired();

    bool isCold() const { return m_coldRequests > 0; }
    size_t inFlight() const { return m_running.size() + m_waiting.size(); }

    /// Returns the most requests that were running or queued at the same time while the target was cold.
    size_t mostWhileCold() const { return m_mostWhileCold; }

private:
    double speed() const;
    void advance(Core::Instant now);
    void startWaiting(Core::Instant now);

    std::vector<Job> m_running;
    std::deque<Job> m_waiting;
    std::vector<size_t> m_expired;
    bool m_isSlow { false };
    unsigned m_coldRequests { 0 };
    size_t m_mostWhileCold { 0 };
    Core::Instant m_advancedAt;
};

}
