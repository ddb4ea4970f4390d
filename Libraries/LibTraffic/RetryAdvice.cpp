#include <LibTraffic/RetryAdvice.h>

#include <algorithm>

namespace Comfreysail::Traffic {

using Core::Duration;
using namespace std::chrono_literals;

namespace {

// A short time, since the load of targets changes within milliseconds.
constexpr Duration shortest = 100ms;
constexpr Duration spread = 300ms;
constexpr int maxPartOfTimeLeft = 3;

}

Duration retryAfter(std::optional<Duration> untilReturn, std::optional<Duration> timeLeft, double uniform)
{
    auto const random = Duration(static_cast<Duration::rep>(static_cast<double>(spread.count()) * uniform));
    auto const wanted = std::max(untilReturn.value_or(Duration {}), Duration {}) + shortest + random;
    if (!timeLeft)
        return wanted;
    return std::min(wanted, std::max(*timeLeft, Duration {}) / maxPartOfTimeLeft);
}

}
