#include "TargetPauseWait.h"

#include <algorithm>

namespace Comfreysail::Daemon {

using Core::Instant;
using HTTP::awaitable;

namespace {

/// Counts a request as waiting while it is in scope.
class QueuePlace {
public:
    QueuePlace(EntryState& state, std::string const& service)
        : m_queue(state.pauseQueues[service])
    {
        ++m_queue.waiting;
    }
    ~QueuePlace() { --m_queue.waiting; }
    QueuePlace(QueuePlace const&) = delete;
    QueuePlace& operator=(QueuePlace const&) = delete;

private:
    Traffic::PauseQueue& m_queue;
};

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

awaitable<std::optional<bool>> waitForTargets(
    boost::asio::io_context& context, EntryState& state, EntryRequest& request)
{
    auto const now = Core::monotonicNow();
    auto const pauses = pausesOf(state, request, now);
    if (pauses.empty() || request.stopSignal.reason())
        co_return std::nullopt;
    auto const& route = *request.route;
    Traffic::PausedRequest const paused { request.arrivedAt, request.deadline, route.latencyTarget,
        typicalWorkOf(state, route.name) };
    auto const decision = Traffic::decideOnPause(paused, pauses, state.pauseQueues[request.service].ahead(now), now);
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
        .logInfo();
    if (decision.action != Traffic::PauseAction::Wait)
        co_return false;
    // A target that refused this request because of its pause may get it afterwards.
    std::erase_if(request.triedTargets, [&](std::string const& id) {
        auto const* const record = state.directory.find(id);
        return record && !Traffic::isSendAllowed(record->pause, now);
    });
    {
        QueuePlace const place(state, request.service);
        boost::asio::steady_timer timer(context, decision.until);
        StopSignal::Scope const scope(request.stopSignal, [&timer] { timer.cancel(); });
        co_await timer.async_wait(HTTP::useTuple);
    }
    co_return !request.stopSignal.reason();
}

}
