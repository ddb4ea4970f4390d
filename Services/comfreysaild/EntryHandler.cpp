#include "EntryHandler.h"

#include "OverloadInput.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <platform/Platform.h>

namespace Comfreysail::Daemon {

using Core::Error;
using Core::ErrorKind;
using Core::Instant;
using HTTP::awaitable;
using Traffic::RegisteredTarget;
using Traffic::ResponseVerdict;
using namespace std::chrono_literals;

namespace {

// A retry with less time left would not reach the caller before its deadline.
constexpr auto minTimeForRetry = 20ms;
// A crashing target closes its connections before its listening port; an earlier probe could still connect.
constexpr auto crashProbeDelay = 30ms;

}

EntryHandler::EntryHandler(boost::asio::io_context& context, HTTP::ConnectionPool& pool, LoadProber& prober,
    EntryState& state, std::string ownZone, CrashReporter& crashReporter)
    : m_pool(pool)
    , m_prober(prober)
    , m_state(state)
    , m_metrics(state.metrics)
    , m_ownZone(ownZone)
    , m_selector(context, prober, pool, state, std::move(ownZone))
    , m_exchange(pool, state)
    , m_receiver(m_selector, state)
    , m_sender(pool, state)
    , m_crashReporter(crashReporter)
{
}

awaitable<void> EntryHandler::handle(HTTP::ServerExchange& exchange)
{
    ++m_state.activeRequests;
    EntryRequest request(exchange, m_state);
    m_state.activeStopSignals.insert(&request.stopSignal);
    auto const prepared = co_await m_receiver.receive(request);
    if (isError(prepared))
        co_await m_sender.refuse(request, errorOf(prepared));
    else
        co_await forward(request);
    request.deadlineWatchdog->disarm();
    m_state.activeStopSignals.erase(&request.stopSignal);
    --m_state.activeRequests;
}

awaitable<void> EntryHandler::forward(EntryRequest& request)
{
    m_state.retries.noteFirstSend(request.service);
    Error lastError { ErrorKind::NoTargetAvailable, {} };
    RegisteredTarget target;
    auto verdict = ResponseVerdict::NotRun;
    while (true) {
        auto const selected = co_await m_selector.select(request);
        if (isError(selected)) {
            // Prefers an error response that a target sent over a refusal by this daemon.
            if (request.response && !request.stopSignal.reason())
                break;
            dropResponse(request);
            if (request.sends == 0)
                lastError = errorOf(selected);
            co_await m_sender.refuse(request, lastError);
            co_return;
        }
        target = valueOf(selected);
        dropResponse(request);
        auto const move = m_state.moves.find(target.service);
        if (move != m_state.moves.end() && move->second.move.toVersion == target.version)
            ++move->second.sentToNewVersion;
        verdict = co_await m_exchange.sendOnce(request, target);
        noteSend(request, target);
        Telemetry::EventLine("send_ended")
            .add("request_id", request.requestId)
            .add("target", target.id)
            .add("verdict", Traffic::verdictName(verdict))
            .add("status", request.response ? request.response->status : 0)
            .add("local_port", request.lastLocalPort)
            .add("took_ms",
                request.sentAt == Instant {} ? 0 : Core::toMilliseconds(Core::monotonicNow() - request.sentAt))
            .add("connection_lost", request.wasConnectionLost)
            .add("response_cut_off", request.wasResponseCutOff)
            .logInfo();
        checkForCrash(request, target);
        // The rest of a streamed response may still be cut off.
        if (verdict == ResponseVerdict::Deliver && !request.streamingConnection)
            noteAnswered(request);
        noteEvidence(request, target, verdict);
        noteFault(request, target, verdict);
        if (request.stopSignal.reason()) {
            dropResponse(request);
            lastError = Error { *request.stopSignal.reason(), {} };
            co_await m_sender.refuse(request, lastError);
            co_return;
        }
        if (verdict == ResponseVerdict::Deliver)
            break;
        // When no other target is available, the caller may get a complete, signed error response, and no other.
        if (verdict != ResponseVerdict::Failed)
            request.response.reset();
        request.triedTargets.push_back(target.id);
        bool const hasNotRun = verdict == ResponseVerdict::NotRun || verdict == ResponseVerdict::OtherTarget;
        lastError = { hasNotRun ? ErrorKind::TargetShedRequest : ErrorKind::ConnectionLost, {} };
        if (!mayRetry(request, verdict, Core::monotonicNow())) {
            if (verdict == ResponseVerdict::Failed)
                break;
            co_await m_sender.refuse(request, lastError);
            co_return;
        }
    }
    co_await deliver(request, target, verdict);
}

awaitable<void> EntryHandler::deliver(EntryRequest& request, RegisteredTarget target, ResponseVerdict verdict)
{
    bool const isStreamed = request.streamingConnection != nullptr;
    bool const isWhole = co_await m_sender.deliver(request);
    if (!isStreamed)
        co_return;
    checkForCrash(request, target);
    if (verdict != ResponseVerdict::Deliver)
        co_return;
    if (isWhole)
        noteAnswered(request);
    else if (request.wasResponseCutOff)
        noteCutOffEvidence(target);
}

void EntryHandler::noteCutOffEvidence(RegisteredTarget const& target)
{
    auto const found = m_state.moves.find(target.service);
    if (found == m_state.moves.end())
        return;
    auto& progress = found->second;
    auto& evidence = progress.evidence;
    auto& side = target.version == progress.move.toVersion ? evidence.newVersion : evidence.oldVersion;
    ++side.failures;
    m_state.evidence.note(progress.move.orderedAt, m_state.evidenceOrigin, evidence);
}

void EntryHandler::checkForCrash(EntryRequest& request, RegisteredTarget const& target)
{
    bool const wasLostBeforeResponse = request.wasConnectionLost && !request.stopSignal.reason();
    if (!wasLostBeforeResponse && !request.wasResponseCutOff)
        return;
    if (!request.wasAnsweredAfterLoss)
        request.wasAnsweredAfterLoss = std::make_shared<bool>(false);
    HTTP::asio::co_spawn(request.exchange.strand(),
        confirmCrash(request.fingerprint, target, request.wasAnsweredAfterLoss), HTTP::asio::detached);
}

void EntryHandler::dropResponse(EntryRequest& request)
{
    request.response.reset();
    if (request.streamingConnection)
        m_pool.discard(std::exchange(request.streamingConnection, nullptr), false);
}

bool EntryHandler::mayRetry(EntryRequest& request, ResponseVerdict verdict, Instant now)
{
    bool const hasNotRun = verdict == ResponseVerdict::NotRun || verdict == ResponseVerdict::OtherTarget;
    if (!hasNotRun && !request.isIdempotent())
        return false;
    if (request.sends >= request.route->maxTargets && !hasNotRun)
        return false;
    if (request.deadline - now < minTimeForRetry)
        return false;
    return m_state.retries.tryTake(request.service);
}

void EntryHandler::noteAnswered(EntryRequest& request)
{
    if (request.wasAnsweredAfterLoss)
        *request.wasAnsweredAfterLoss = true;
    if (!m_state.quarantine.noteAnswered(request.fingerprint, request.sentAt, Core::monotonicNow()))
        return;
    Telemetry::EventLine("request_cleared")
        .add("request_id", request.requestId)
        .add("fingerprint", Core::toHex(request.fingerprint))
        .logInfo();
    m_crashReporter.withdraw(request.fingerprint);
}

awaitable<void> EntryHandler::confirmCrash(
    uint64_t fingerprint, RegisteredTarget target, std::shared_ptr<bool const> wasAnswered)
{
    auto const crashedAt = Core::monotonicNow();
    auto const executor = co_await HTTP::asio::this_coro::executor;
    HTTP::asio::steady_timer timer(executor, crashProbeDelay);
    co_await timer.async_wait(HTTP::useTuple);
    bool const hasEnded = co_await m_prober.hasEnded(target);
    Telemetry::EventLine("crash_check")
        .add("target", target.id)
        .add("fingerprint", Core::toHex(fingerprint))
        .add("has_ended", hasEnded)
        .add("answered_elsewhere", *wasAnswered)
        .logInfo();
    if (!hasEnded || *wasAnswered)
        co_return;
    auto const instance = target.id + "@" + std::to_string(target.startedAt);
    Telemetry::EventLine("target_crashed_with_request")
        .add("target", instance)
        .add("fingerprint", Core::toHex(fingerprint))
        .logWarning();
    Retry::CrashReport const report { fingerprint, instance };
    m_state.quarantine.noteCrash(report, crashedAt);
    m_crashReporter.report(report, crashedAt);
}

void EntryHandler::noteSend(EntryRequest& request, RegisteredTarget const& target)
{
    request.isLastTargetInOwnZone = target.availabilityZone == m_ownZone;
    // No connection was established, so nothing was sent.
    if (request.sentAt == Instant {})
        return;
    auto const now = Core::monotonicNow();
    m_metrics.noteSend(
        requestClassOf(*request.route), request.sends > 1, request.sentAt - request.arrivedAt, now - request.sentAt);
    m_metrics.noteBytes(request.isLastTargetInOwnZone, request.body->size() + request.responseBody.size());
}

void EntryHandler::noteEvidence(EntryRequest const& request, RegisteredTarget const& target, ResponseVerdict verdict)
{
    auto const found = m_state.moves.find(target.service);
    // A connection that is lost before a response may have been closed while it was idle, or by a target that is full.
    bool const isBadResponse
        = verdict == ResponseVerdict::Invalid && !request.stopSignal.reason() && !request.wasConnectionLost;
    bool const hasTimedOut
        = verdict == ResponseVerdict::Invalid && request.stopSignal.reason() == ErrorKind::DeadlineExceeded;
    bool const isEvidence
        = verdict == ResponseVerdict::Deliver || verdict == ResponseVerdict::Failed || isBadResponse || hasTimedOut;
    if (found == m_state.moves.end() || !isEvidence)
        return;
    auto& progress = found->second;
    auto& evidence = progress.evidence;
    auto& side = target.version == progress.move.toVersion ? evidence.newVersion : evidence.oldVersion;
    ++side.requests;
    if (verdict == ResponseVerdict::Failed || isBadResponse)
        ++side.failures;
    auto const latencyTarget = request.route->latencyTarget;
    if (latencyTarget.count() > 0 && Core::monotonicNow() - request.sentAt > latencyTarget)
        ++side.slow;
    m_state.evidence.note(progress.move.orderedAt, m_state.evidenceOrigin, evidence);
}

void EntryHandler::noteFault(EntryRequest const& request, RegisteredTarget const& target, ResponseVerdict verdict)
{
    auto const now = Core::monotonicNow();
    auto& directory = m_state.directory;
    if (request.stopSignal.reason() || request.wasConnectRefusedHere)
        return;
    switch (verdict) {
    case ResponseVerdict::Deliver:
        directory.noteAnswered(target.id);
        noteServiceTime(m_state, request, now - request.sentAt);
        if (request.isQueuedAtTarget)
            m_state.queueingEstimates[request.route->name].note(
                now - request.arrivedAt <= request.route->latencyTarget);
        break;
    case ResponseVerdict::OtherTarget:
        directory.noteFault(target.id, Traffic::TargetFault::OtherTarget, now);
        break;
    case ResponseVerdict::Failed:
    case ResponseVerdict::NotRun:
        directory.noteFault(target.id, Traffic::TargetFault::FailedRequest, now);
        break;
    case ResponseVerdict::Foreign:
    case ResponseVerdict::Invalid:
        directory.noteFault(target.id, Traffic::TargetFault::Unreachable, now);
        break;
    }
}

}
