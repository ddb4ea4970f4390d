#include <LibTraffic/PauseDecision.h>

#include <algorithm>
#include <array>
#include <map>
#include <tuple>

namespace Comfreysail::Traffic {

using Core::Duration;
using Core::Instant;
using namespace std::chrono_literals;

namespace {

// Of a request whose typical work is unknown.
constexpr Duration minTimeToRun = 20ms;
constexpr int maxPartOfTimeLeft = 3;
// Clients that were told the same time would be sent together; this spreads them at least.
constexpr Duration minSpread = 50ms;
// A longer queue would be told times beyond the time limits of its clients.
constexpr size_t maxReturns = 1024;
// Each waiting request holds its client's connection and its body. A VM has 2,870 descriptors at least.
constexpr size_t maxWaiting = 512;

Duration part(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}

bool canBeServed(PausedRequest const& request, Instant sentAt)
{
    return sentAt + std::max(request.typicalWork, minTimeToRun) <= request.deadline;
}

bool canBeInTime(PausedRequest const& request, Instant sentAt)
{
    auto const end = sentAt + std::max(request.typicalWork, minTimeToRun);
    return request.latencyTarget.count() > 0 ? end <= request.arrivedAt + request.latencyTarget
                                             : end <= request.deadline;
}

bool isSentBefore(PausedRequest const& first, PausedRequest const& second, Instant now)
{
    if (first.rank != second.rank)
        return first.rank < second.rank;
    auto const isFirstInTime = canBeInTime(first, now);
    if (isFirstInTime != canBeInTime(second, now))
        return isFirstInTime;
    return std::tie(first.deadline, first.number) < std::tie(second.deadline, second.number);
}

std::string_view pauseActionName(PauseAction action)
{
    constexpr std::array<std::string_view, 3> names { "wait", "deadline", "room" };
    return names.at(static_cast<size_t>(action));
}

PauseDecision decideOnPause(
    PausedRequest const& request, std::span<TargetPause const> pauses, size_t ahead, bool hasRoom, Instant now)
{
    PauseDecision decision { PauseAction::Wait, std::max(sendTime(pauses, ahead), now) };
    if (!canBeServed(request, decision.until))
        decision.action = PauseAction::RefuseForDeadline;
    else if (!hasRoom)
        decision.action = PauseAction::RefuseForRoom;
    return decision;
}

size_t PauseQueue::ahead(PausedRequest const& request, Instant now) const
{
    return static_cast<size_t>(
        std::ranges::count_if(waiting, [&](auto const& other) { return isSentBefore(other, request, now); }));
}

size_t PauseQueue::aheadOfNextReturn(Instant now) const
{
    return waiting.size() + static_cast<size_t>(std::ranges::count_if(returns, [now](Instant at) { return at > now; }));
}

bool PauseQueue::hasRoom(PausedRequest const& request) const
{
    if (waiting.size() >= maxWaiting)
        return false;
    std::map<std::string_view, size_t> departments;
    for (auto const& other : waiting)
        ++departments[other.department];
    auto const own = departments[request.department];
    return request.department.empty() || own < maxWaiting / (departments.size() + 1);
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
