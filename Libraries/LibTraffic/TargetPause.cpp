#include <LibTraffic/TargetPause.h>

#include <algorithm>
#include <cmath>

namespace Comfreysail::Traffic {

using Core::Duration;
using Core::Instant;

namespace {

constexpr double microsecondsPerSecond = 1e6;
// Requests that a short pause held back are few, so its return is short too.
constexpr int returnTimePerStatedTime = 2;
constexpr Duration maxReturnTime = std::chrono::seconds(3);
// Daemons without a limit again are spread over this part of the return time.
constexpr int returnTimePerSpreadOfEnds = 4;
// Part of the full rate right after the pause. A lower one leaves the target of a few daemons idle for longer, as each
// of them waits for its first send.
constexpr double firstFraction = 0.25;
constexpr Duration assumedWork = std::chrono::milliseconds(200);

double secondsOf(Duration duration) { return static_cast<double>(duration.count()) / microsecondsPerSecond; }

/// The time at the full rate, in seconds, that has the same sends as this time after the end of the pause.
double fullRateTime(TargetPause const& pause, Duration sinceEnd)
{
    auto const time = std::max(secondsOf(sinceEnd), 0.0);
    auto const ramp = secondsOf(pause.returnTime);
    auto const rising = std::min(time, ramp);
    auto const risen = ramp > 0 ? firstFraction * rising + (1 - firstFraction) * rising * rising / (2 * ramp) : 0;
    return risen + time - rising;
}

/// The inverse of fullRateTime().
Duration timeAfterEnd(TargetPause const& pause, double fullRateSeconds)
{
    auto const ramp = secondsOf(pause.returnTime);
    auto const risen = fullRateTime(pause, pause.returnTime);
    double time = 0;
    if (fullRateSeconds >= risen) {
        time = ramp + fullRateSeconds - risen;
    } else {
        auto const slope = (1 - firstFraction) / ramp;
        time = (std::sqrt(firstFraction * firstFraction + 2 * slope * fullRateSeconds) - firstFraction) / slope;
    }
    return Duration(static_cast<Duration::rep>(std::ceil(time * microsecondsPerSecond)));
}

/// From when on the sends of this daemon are not limited.
Instant endOfReturn(TargetPause const& pause)
{
    auto const spread = static_cast<double>((pause.returnTime / returnTimePerSpreadOfEnds).count()) * pause.phase;
    return pause.until + pause.returnTime + Duration(static_cast<Duration::rep>(spread));
}

/// When the rising rate allows the send with this number, counted from zero.
Instant risingTimeOfSend(TargetPause const& pause, double number)
{
    return pause.until + timeAfterEnd(pause, (number + pause.phase) / (pause.fullRate * pause.partOfRate));
}

/// The number of sends that the rising rate allows until then, including those that were made.
double risingSendsUntil(TargetPause const& pause, Instant time)
{
    if (time < pause.until)
        return 0;
    auto const rated = fullRateTime(pause, time - pause.until) * pause.fullRate * pause.partOfRate;
    auto const sends = std::max(std::floor(rated - pause.phase) + 1, 0.0);
    // The times of sends are rounded up to whole microseconds, and the square root is not exact.
    if (risingTimeOfSend(pause, sends) <= time)
        return sends + 1;
    return sends > 0 && risingTimeOfSend(pause, sends - 1) > time ? sends - 1 : sends;
}

double sendsUntil(TargetPause const& pause, Instant time)
{
    auto const end = endOfReturn(pause);
    if (time < end)
        return risingSendsUntil(pause, time);
    constexpr double roundingError = 1e-9;
    return risingSendsUntil(pause, end) + std::floor(secondsOf(time - end) * pause.fullRate + roundingError) + 1;
}

/// When the send with this number, counted from zero, is allowed.
Instant timeOfSend(TargetPause const& pause, double number)
{
    auto const end = endOfReturn(pause);
    auto const rising = risingTimeOfSend(pause, number);
    if (rising <= end)
        return rising;
    auto const later = std::max(number - risingSendsUntil(pause, end), 0.0) / pause.fullRate;
    return end + Duration(static_cast<Duration::rep>(std::ceil(later * microsecondsPerSecond)));
}

}

TargetPause makePause(Duration stated, PausedTarget const& target, double uniform, Instant now)
{
    auto const divisor = std::max(target.divisor, 1.0);
    auto const work = target.typicalWork.count() > 0 ? target.typicalWork : assumedWork;
    TargetPause pause;
    pause.toldAt = now;
    pause.until = now + stated;
    pause.returnTime = std::min(stated * returnTimePerStatedTime, maxReturnTime);
    pause.fullRate = std::max(target.slots, 1U) / secondsOf(work);
    pause.partOfRate = 1 / divisor;
    pause.phase = uniform * (1 - 1 / divisor);
    return pause;
}

bool isPaused(std::optional<TargetPause> const& pause, Instant now) { return pause && now < pause->until; }

bool isSendAllowed(std::optional<TargetPause> const& pause, Instant now)
{
    return !pause || now >= endOfReturn(*pause) || now >= timeOfSend(*pause, pause->sends);
}

TargetPause withSend(TargetPause pause, Instant now)
{
    auto const allowed = static_cast<unsigned>(std::min(sendsUntil(pause, now), 1e9));
    pause.sends = std::max(pause.sends + 1, allowed > 0 ? allowed - 1 : 0);
    return pause;
}

Instant sendTime(std::span<TargetPause const> pauses, size_t ahead)
{
    auto earliest = Instant::max();
    auto latest = Instant::max();
    for (auto const& pause : pauses) {
        earliest = std::min(earliest, timeOfSend(pause, pause.sends));
        latest = std::min(latest, timeOfSend(pause, pause.sends + static_cast<double>(ahead)));
    }
    auto const isEnough = [&](Instant time) {
        double sends = 0;
        for (auto const& pause : pauses)
            sends += std::max(sendsUntil(pause, time) - pause.sends, 0.0);
        return sends > static_cast<double>(ahead);
    };
    while (earliest < latest) {
        auto const middle = earliest + (latest - earliest) / 2;
        if (isEnough(middle))
            latest = middle;
        else
            earliest = middle + Duration(1);
    }
    return latest;
}

}
