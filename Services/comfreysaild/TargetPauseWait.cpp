#include "TargetPauseWait.h"

#include <algorithm>

namespace Comfreysail::Daemon {

using Core::Instant;
using HTTP::awaitable;

namespace {

Traffic::PausedRequest pausedRequestOf(
    EntryState const& state, EntryRequest const& request, std::optional<PausePlace> const& place)
{
    Traffic::PausedRequest paused;
    if (place)
        paused.number = place->number();
    paused.rank = request.rank;
    paused.arrivedAt = request.arrivedAt;
    paused.deadline = request.deadline;
    paused.latencyTarget = request.route->latencyTarget;
    paused.typicalWork = typicalWorkOf(state, request.route->name);
    paused.department = Access::nameOf(request.department);
    return paused;
}

}

PausePlace::PausePlace(EntryState& state, std::string const& service, Traffic::PausedRequest const& request)
    : m_waiters(state.pauseWaiters[service])
    , m_number(++state.pausedRequests)
{
    m_waiters.queue.waiting.push_back(request);
    m_waiters.queue.waiting.back().number = m_number;
}

PausePlace::~PausePlace()
{
    std::erase_if(m_waiters.queue.waiting, [this](auto const& request) { return request.number == m_number; });
}

std::vector<Traffic::TargetPause> pausesOf(EntryState const& state, EntryRequest const& request, Instant now)
{
    auto const version = allowedVersion(state, request.service, request.uniform, now);
    return state.directory.pausesOf(request.service, version, state.zonesOutOfService, now);
}

std::string noteStatedExclusions(EntryState& state, std::string const& service, Instant now)
{
    auto const excluded = state.directory.statedExclusions(service, now);
    if (excluded.total() == 0)
        return {};
    std::string text;
    auto const note = [&](std::string const& reason, size_t targets) {
        if (targets > 0)
            state.metrics.counter("comfreysail_targets_left_out_total", { { "reason", reason } }).add(targets);
        text += reason + "=" + std::to_string(targets) + " ";
    };
    note("leaving", excluded.leaving);
    note("wait", excluded.waiting);
    note("return", excluded.returning);
    note("limit", excluded.limited);
    return text + "oldest_said_ms_ago=" + std::to_string(Core::toMilliseconds(now - excluded.oldestAt));
}

bool isBehindOthers(
    EntryState const& state, EntryRequest const& request, std::optional<PausePlace> const& place, Instant now)
{
    auto const waiters = state.pauseWaiters.find(request.service);
    if (waiters == state.pauseWaiters.end() || waiters->second.queue.waiting.empty())
        return false;
    auto const ahead = waiters->second.queue.ahead(pausedRequestOf(state, request, place), now);
    auto const pauses = ahead > 0 ? pausesOf(state, request, now) : std::vector<Traffic::TargetPause> {};
    return !pauses.empty() && Traffic::sendTime(pauses, ahead) > now;
}

awaitable<std::optional<bool>> waitForTargets(boost::asio::io_context& context, EntryState& state,
    EntryRequest& request, std::optional<PausePlace>& place, Instant selectionBeganAt)
{
    auto const now = Core::monotonicNow();
    auto const pauses = pausesOf(state, request, now);
    if (request.stopSignal.reason())
        co_return std::nullopt;
    // The last pause may have ended while a target was looked for.
    if (pauses.empty())
        co_return pausesOf(state, request, selectionBeganAt).empty() ? std::nullopt : std::optional(true);
    auto& waiters = state.pauseWaiters[request.service];
    auto const paused = pausedRequestOf(state, request, place);
    auto const ahead = waiters.queue.ahead(paused, now);
    bool const hasRoom = place || waiters.queue.hasRoom(paused);
    auto const decision = Traffic::decideOnPause(paused, pauses, ahead, hasRoom, now);
    // A target that refused this request because of its pause may get it afterwards.
    auto const isUsableAgain = [&](std::string const& id) {
        auto const* const record = state.directory.find(id);
        return record && Traffic::isInEffect(record->pause, now);
    };
    bool const hasMoreTargets = std::erase_if(request.triedTargets, isUsableAgain) > 0;
    // A send that was allowed from the beginning on means that the targets were left out for another reason.
    if (decision.until <= now) {
        bool const becameAllowed = Traffic::sendTime(pauses, ahead) > selectionBeganAt;
        co_return becameAllowed || hasMoreTargets ? std::optional(true) : std::nullopt;
    }
    bool const waits = decision.action == Traffic::PauseAction::Wait;
    if (!waits || !place) {
        state.metrics
            .counter("comfreysail_target_pause_decisions_total",
                { { "decision", std::string(Traffic::pauseActionName(decision.action)) } })
            .add();
        auto const firstSaid = std::ranges::min_element(pauses, {}, &Traffic::TargetPause::toldAt)->toldAt;
        Telemetry::EventLine("targets_paused")
            .add("request_id", request.requestId)
            .add("service", request.service)
            .add("decision", Traffic::pauseActionName(decision.action))
            .add("targets", pauses.size())
            .add("first_said_ms_ago", Core::toMilliseconds(now - firstSaid))
            .add("sendable_in_ms", Core::toMilliseconds(decision.until - now))
            .add("left_ms", Core::toMilliseconds(request.deadline - now))
            .add("in_time", Traffic::canBeInTime(paused, decision.until))
            .add("ahead", ahead)
            .add("waiting", waiters.queue.waiting.size())
            .logInfo();
    }
    if (!waits)
        co_return false;
    if (!place)
        place.emplace(state, request.service, paused);
    boost::asio::steady_timer timer(context, decision.until);
    auto const wakeUp = [&timer] { timer.cancel(); };
    waiters.wakeUps.emplace(place->number(), wakeUp);
    {
        StopSignal::Scope const scope(request.stopSignal, wakeUp);
        co_await timer.async_wait(HTTP::useTuple);
    }
    waiters.wakeUps.erase(place->number());
    // The timer may fire late.
    co_return !request.stopSignal.reason() && Traffic::canBeServed(paused, Core::monotonicNow());
}

}
