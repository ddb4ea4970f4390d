#pragma once

#include <LibCore/Time.h>
#include <LibHTTP/Asio.h>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace Comfreysail::HTTP {

/// A deadline that is moved often and rarely expires. Moving it to a later time does not touch the timer queue, which
/// would cost a lock and a system call for each request. All calls and `onExpiry` run on one strand.
class Watchdog : public std::enable_shared_from_this<Watchdog> {
public:
    static std::shared_ptr<Watchdog> create(asio::any_io_executor const& strand);

    /// Replaces the deadline. `onExpiry` runs once, on the strand, and must not keep the watchdog's owner alive.
    void arm(Core::Instant deadline, std::function<void()> onExpiry);
    /// Moves the deadline, unless it has expired. It must not become earlier.
    void extend(Core::Instant deadline);
    void disarm();

private:
    explicit Watchdog(asio::any_io_executor const& strand);
    void wait(Core::Instant until);
    void onTimer();

    asio::steady_timer m_timer;
    std::optional<Core::Instant> m_deadline;
    std::optional<Core::Instant> m_wakesAt;
    uint64_t m_waitNumber { 0 };
    std::function<void()> m_onExpiry;
};

}
