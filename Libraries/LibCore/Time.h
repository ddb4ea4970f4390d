#pragma once

#include <chrono>
#include <cstdint>

namespace Comfreysail::Core {

/// A duration in microseconds.
using Duration = std::chrono::microseconds;

/// A time on the monotonic clock. Functions whose result depends on the current time take it as their last argument.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A wall-clock time in milliseconds since the Unix epoch. Use it only for times that are exchanged with other
/// processes.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

inline Instant monotonicNow() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

/// The time since the VM booted, including the time in which it was suspended; monotonicNow() does not count that.
Duration suspendAwareNow();

/// Whole milliseconds, rounded towards zero, as written into log lines and headers.
inline int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

inline WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

/// Milliseconds since the Unix epoch, as written into headers and rows.
inline int64_t toUnixMilliseconds(WallTime time) { return time.time_since_epoch().count(); }

inline WallTime fromUnixMilliseconds(int64_t milliseconds) { return WallTime(std::chrono::milliseconds(milliseconds)); }

}
