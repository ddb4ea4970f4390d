#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace Comfreysail::RoutingReplay {

/// A target that runs requests in arrival order in its slots, at a speed that may change at any time.
class SimulatedTarget {
public:
    /// A request on the target.
    struct Job {
        size_t request { 0 };
        double work { 0 }; ///< Remaining, in microseconds at full speed.
        Core::Instant startBy;
    };

    void add(Job, Core::Instant now);
    void setSlow(bool isSlow, Core::Instant now);

    /// The target runs at a fifth of its speed until it has completed some requests.
    void becomeCold(Core::Instant now);

    /// When the next request ends if nothing changes.
    std::optional<Core::Instant> nextEnd() const;

    /// Takes a request that has ended by now.
    std::optional<size_t> takeEnded(Core::Instant now);

    /// Takes a request whose start deadline passed before a slot was free.
    std::optional<size_t> takeGivenUp();

    bool isCold() const { return m_coldRequests > 0; }
    size_t inFlight() const { return m_running.size() + m_waiting.size(); }

    /// Most requests that were on the target at the same time while it was cold.
    size_t mostWhileCold() const { return m_mostWhileCold; }

private:
    double speed() const;
    void advance(Core::Instant now);
    void startWaiting(Core::Instant now);

    std::vector<Job> m_running;
    std::deque<Job> m_waiting;
    std::vector<size_t> m_givenUp;
    bool m_isSlow { false };
    unsigned m_coldRequests { 0 };
    size_t m_mostWhileCold { 0 };
    Core::Instant m_advancedAt;
};

}
