#include <LibTraffic/PauseDecision.h>

#include <algorithm>
#include <array>

namespace Comfreysail::Traffic {

using Core::Duration;
using Core::Instant;
using namespace std::chrono_literals;

namespace {

// A response loses worth step by step beyond an eighth of its latency target.
constexpr int maxPartOfLatencyTarget = 8;
// Of a request whose typical work is unknown.
constexpr Duration minTimeToRun = 20ms;
constexpr int maxPartOfTimeLeft = 3;
// Clients that were told the same time would be sent together; this spreads them at least.
constexpr Duration minSpread = 50ms;
// A longer queue would be told times beyond the time limits of its clients.
constexpr size_t maxReturns = 1024;

Duration part(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}

std::string_view pauseActionName(PauseAction action)
{
    constexpr std::array<std::string_view, 3> names { "wait", "deadline", "latency" };
    return names.at(static_cast<size_t>(action));
}

PauseDecision decideOnPause(
    PausedRequest const& request, std::span<TargetPause const> pauses, size_t ahead, Instant now)
{
    PauseDecision decision { PauseAction::Wait, std::max(sendTime(pauses, ahead), now) };
    if (decision.until + std::max(request.typicalWork, minTimeToRun) > request.deadline)
        decision.action = PauseAction::RefuseForDeadline;
    else if (request.latencyTarget.count() > 0
        && decision.until - request.arrivedAt > request.latencyTarget / maxPartOfLatencyTarget)
        decision.action = PauseAction::RefuseForLatency;
    return decision;
}

size_t PauseQueue::ahead(Instant now) const
{
    return waiting + static_cast<size_t>(std::ranges::count_if(returns, [now](Instant at) { return at > now; }));
}

void PauseQueue::noteReturn(Instant at, Instant now)
{
    std::erase_if(returns, [now](Instant known) { return known <= now; });
    if (returns.size() < maxReturns)
        returns.push_back(at);
}

ReturnAdvice adviseReturn(
    std::span<TargetPause const> pauses, size_t ahead, std::optional<Duration> timeLeft, double uniform, Instant now)
{
    auto const earliest = std::max(sendTime(pauses, ahead), now);
    auto const next = std::max(sendTime(pauses, ahead + 1), now);
    ReturnAdvice const advice { earliest - now + part(std::max(next - earliest, minSpread), uniform), true };
    if (!timeLeft)
        return advice;
    auto const longest = std::max(*timeLeft, Duration {}) / maxPartOfTimeLeft;
    if (advice.after <= longest)
        return advice;
    // It comes back before its turn, spread over the last third of the time that it may wait.
    return { part(longest, (2 + uniform) / 3), false };
}

}
