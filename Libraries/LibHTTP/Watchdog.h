#pragma once

#include <LibCore/Time.h>
#include <LibHTTP/Asio.h>
#include <LibHTTP/SteppedWait.h>
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
    /// The same with a limit on the time that the other side takes, see SteppedWait.
    void armInSteps(Core::Instant deadline, unsigned maxUncountedSteps, std::function<void()> onExpiry);
    /// Moves the deadline, unless it has expired or is later.
    void extend(Core::Instant deadline);
    void disarm();

    /// Returns the time since armInSteps() or the end of the last step, including suspensions of the VM. This process
    /// was not paused for longer than that since then.
    Core::Duration timeSinceLastStep() const;

private:
    explicit Watchdog(asio::any_io_executor const& strand);
    void wait(Core::Instant until);
    void waitForNextStep();
    void onTimer();

    asio::steady_timer m_timer;
    std::optional<SteppedWait> m_limit;
    std::optional<Core::Instant> m_wakesAt;
    uint64_t m_waitNumber { 0 };
    Core::Duration m_lastStepAt {}; ///< Of Core::suspendAwareNow().
    std::function<void()> m_onExpiry;
};

}
