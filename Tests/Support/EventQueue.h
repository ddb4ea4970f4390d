#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace Comfreysail::Tests {

/// Runs events in the order of their times, for tests that play a load through deciding functions without waiting.
/// Events of the same time run in the order in which they were scheduled.
class EventQueue {
public:
    explicit EventQueue(Core::Instant start = {})
        : m_now(start)
    {
    }

    /// The time of the event that runs, or of the last one.
    Core::Instant now() const { return m_now; }
    bool isEmpty() const { return m_events.empty(); }
    Core::Instant nextTime() const { return m_events.top().time; }

    void schedule(Core::Duration after, std::function<void()> run)
    {
        m_events.push({ m_now + after, ++m_scheduled, std::move(run) });
    }

    void runNext()
    {
        auto const event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.run();
    }

private:
    struct Event {
        Core::Instant time;
        uint64_t number { 0 };
        std::function<void()> run;

        bool operator<(Event const& other) const
        {
            return time != other.time ? time > other.time : number > other.number;
        }
    };

    Core::Instant m_now;
    uint64_t m_scheduled { 0 };
    std::priority_queue<Event> m_events;
};

}
