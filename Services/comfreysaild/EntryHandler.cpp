#include "EntryHandler.h"

#include "EntryRequest.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <platform/Platform.h>

namespace Comfreysail::Daemon {

using Core::Empty;
using Core::Error;
using Core::ErrorKind;
using Core::Instant;
using Core::Result;
using HTTP::awaitable;
using Traffic::RegisteredTarget;
using Traffic::ResponseVerdict;
using namespace std::chrono_literals;

namespace {

constexpr size_t readBufferSize = size_t { 32 } * 1024;
constexpr size_t defaultMaxBodyBytes = size_t { 64 } << 20;
// A retry with less time left would not reach the caller before its deadline.
constexpr auto minTimeForRetry = 20ms;
constexpr auto defaultTimeout = 30s;
// A body waits for memory during this fraction of its time, so that a caller who is refused has time to come back.
constexpr int maxMemoryWaitDivisor = 4;
// A streamed response body that makes no progress for this long is given up.
constexpr auto streamStallTimeout = 30s;
// A crashing target closes its connections before its listening port; an earlier probe could still connect.
constexpr auto crashProbeDelay = 30ms;

/// The time that the caller will wait, or std::nullopt if it states none.
std::optional<Core::Duration> timeLeft(HTTP::RequestHead const& head)
{
    auto const text = head.fields.find(Platform::headerNames().timeLeftMilliseconds);
    int64_t milliseconds = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), milliseconds).ec != std::errc()
        || milliseconds <= 0)
        return std::nullopt;
    return std::min<Core::Duration>(std::chrono::milliseconds(milliseconds), 24h);
}

int64_t milliseconds(Core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// In seconds, with three decimals.
std::string secondsText(Core::Duration duration)
{
    constexpr int64_t millisecondsPerSecond = 1000;
    auto const fraction = std::to_string(milliseconds(duration) % millisecondsPerSecond);
    return std::to_string(milliseconds(duration) / millisecondsPerSecond) + "." + std::string(3 - fraction.size(), '0')
        + fraction;
}

HTTP::ResponseHead headForCaller(EntryRequest const& request)
{
    auto head = *request.response;
    HTTP::removeHopByHopFields(head.fields);
    head.fields.remove("Content-Length");
    head.fields.remove(Platform::headerNames().load);
    // The end of a connection looks the same if this process ends on the way. In chunks, the response is complete only
    // with the last one, which follows the orderly end of the target's connection.
    head.chunked = head.chunked || std::exchange(head.endsWithConnection, false);
    head.keepAlive = true;
    return head;
}

}

EntryHandler::EntryHandler(boost::asio::io_context& context, HTTP::ConnectionPool& pool, LoadProber& prober,
    EntryState& state, std::string ownZone, CrashReporter& crashReporter)
    : m_pool(pool)
    , m_prober(prober)
    , m_state(state)
    , m_metrics(state.metrics)
    , m_ownZone(ownZone)
    , m_selector(context, prober, state, std::move(ownZone))
    , m_exchange(pool, state)
    , m_crashReporter(crashReporter)
{
}

double EntryHandler::uniform() { return std::uniform_real_distribution<double>(0, 1)(m_generator); }

awaitable<void> EntryHandler::handle(HTTP::ServerExchange& exchange)
{
    ++m_state.activeRequests;
    EntryRequest request(exchange, m_state);
    m_state.activeStopSignals.insert(&request.stopSignal);
    auto const prepared = co_await prepare(request);
    if (isError(prepared))
        co_await refuse(request, errorOf(prepared));
    else
        co_await forward(request);
    request.deadlineWatchdog->disarm();
    m_state.activeStopSignals.erase(&request.stopSignal);
    --m_state.activeRequests;
}

awaitable<Result<Empty>> EntryHandler::prepare(EntryRequest& request)
{
    auto& exchange = request.exchange;
    auto const& head = exchange.head();
    request.requestId = std::string(head.fields.find(Platform::headerNames().requestId).value_or(""));
    // Routes may have been withdrawn or added while the process was paused.
    m_state.pauses.noteTick(Core::suspendAwareNow());
    co_await m_selector.waitForFreshRows(request);
    request.plan = m_state.plan;
    if (!request.plan || !m_state.hasReadTargets)
        co_return Error { ErrorKind::SettingsUnavailable, {} };
    request.route = Traffic::findRoute(*request.plan, head.fields.find("Host").value_or(""), head.target);
    if (!request.route)
        co_return Error { ErrorKind::UnknownRoute, {} };
    // Its target would not respond before this process ends.
    bool const isTooLate
        = m_state.stopsServingAt && request.arrivedAt + request.route->latencyTarget > *m_state.stopsServingAt;
    if (isTooLate)
        co_return Error { ErrorKind::ShuttingDown, {} };
    request.uniform = uniform();
    request.service = Traffic::chooseService(*request.route, uniform());
    auto const statedTime = timeLeft(head);
    auto const left = statedTime.value_or(defaultTimeout);
    if (statedTime)
        request.callerDeadline = request.arrivedAt + *statedTime;
    request.earlierWait = m_state.timeLimits[request.route->name].note(left);
    request.deadline = request.arrivedAt + std::min(left, request.route->timeout);
    request.deadlineWatchdog->arm(
        request.deadline, [&request] { request.stopSignal.stop(ErrorKind::DeadlineExceeded); });
    StopSignal::Scope const scope(request.stopSignal, [&exchange] { exchange.cancelPendingRead(); });
    auto const received = co_await receiveBody(request);
    if (isError(received))
        co_return errorOf(received);
    request.fingerprint = Retry::fingerprintOf({ request.service, head.method, head.target, *request.body });
    if (m_state.quarantine.isRefused(request.fingerprint, request.arrivedAt))
        co_return Error { ErrorKind::RequestQuarantined, "fingerprint " + Core::toHex(request.fingerprint) };
    Telemetry::EventLine("request_arrived")
        .add("request_id", request.requestId)
        .add("route", request.route->name)
        .add("service", request.service)
        .add("left_ms", milliseconds(left))
        .add("waited_before_ms", milliseconds(request.earlierWait))
        .add("revision", request.plan->revision)
        .add("rows_age_ms", milliseconds(request.arrivedAt - m_state.rowsReadAt))
        .logInfo();
    exchange.watchCaller([&request] { request.stopSignal.stop(ErrorKind::CallerGone); },
        request.isIdempotent() ? HTTP::PipeliningMode::ReadAhead : HTTP::PipeliningMode::Sequential);
    if (request.isIdempotent())
        co_return Empty {};
    // A request that must not run twice waits until the earlier pipelined responses are sent: one of them may close the
    // connection, and the caller would then send this request again.
    bool const isDeliverable = co_await exchange.waitForEarlierResponses();
    if (!isDeliverable || request.stopSignal.reason())
        co_return Error { request.stopSignal.reason().value_or(ErrorKind::CallerGone), {} };
    co_return Empty {};
}

awaitable<Result<Empty>> EntryHandler::receiveBody(EntryRequest& request)
{
    auto& exchange = request.exchange;
    auto const& head = exchange.head();
    auto const planned = request.plan->limits.maxBodyBytes;
    auto const maxBytes = planned > 0 ? planned : defaultMaxBodyBytes;
    auto const length = static_cast<size_t>(head.contentLength.value_or(0));
    if (length > maxBytes)
        co_return Error { ErrorKind::BodyTooLarge, {} };
    if (exchange.isBodyFinished())
        co_return Empty {};
    auto const longestWait = (request.deadline - request.arrivedAt) / maxMemoryWaitDivisor;
    bool const hasMemory
        = co_await request.bodyMemory.reserve(length, request.stopSignal, request.arrivedAt + longestWait);
    if (request.stopSignal.reason())
        co_return Error { *request.stopSignal.reason(), {} };
    if (!hasMemory)
        co_return Error { ErrorKind::QueueFull, "no memory for the body" };
    auto& body = *request.body;
    if (length > 0)
        body.reserve(length + readBufferSize);
    while (!exchange.isBodyFinished()) {
        auto const offset = body.size();
        if (!request.bodyMemory.growTo(offset))
            co_return Error { ErrorKind::QueueFull, "no memory for the rest of the body" };
        body.resize(offset + readBufferSize);
        auto const size = co_await exchange.readBody(std::span(body).subspan(offset));
        if (request.stopSignal.reason())
            co_return Error { ErrorKind::DeadlineExceeded, "the body did not arrive in time" };
        if (isError(size))
            co_return errorOf(size);
        body.resize(offset + valueOf(size));
        if (body.size() > maxBytes)
            co_return Error { ErrorKind::BodyTooLarge, {} };
        if (valueOf(size) == 0)
            break;
    }
    co_return Empty {};
}

awaitable<void> EntryHandler::forward(EntryRequest& request)
{
    m_state.retries.noteFirstSend(request.service);
    Error lastError { ErrorKind::NoTargetAvailable, {} };
    while (true) {
        auto const selected = co_await m_selector.select(request);
        if (isError(selected)) {
            // Prefers an error response that a target sent over a refusal by this daemon.
            if (request.response && !request.stopSignal.reason())
                break;
            dropResponse(request);
            if (request.sends == 0)
                lastError = errorOf(selected);
            co_await refuse(request, lastError);
            co_return;
        }
        auto const target = valueOf(selected);
        dropResponse(request);
        auto const move = m_state.moves.find(target.service);
        if (move != m_state.moves.end() && move->second.move.toVersion == target.version)
            ++move->second.sentToNewVersion;
        auto const verdict = co_await m_exchange.sendOnce(request, target);
        noteSend(request, target);
        Telemetry::EventLine("send_ended")
            .add("request_id", request.requestId)
            .add("target", target.id)
            .add("verdict", Traffic::verdictName(verdict))
            .add("status", request.response ? request.response->status : 0)
            .add("took_ms", request.sentAt == Instant {} ? 0 : milliseconds(Core::monotonicNow() - request.sentAt))
            .add("connection_lost", request.wasConnectionLost)
            .logInfo();
        if (request.wasConnectionLost && !request.stopSignal.reason()) {
            auto const& healthPath = request.plan->services.find(request.service)->second.healthPath;
            if (!request.wasAnsweredAfterLoss)
                request.wasAnsweredAfterLoss = std::make_shared<bool>(false);
            HTTP::asio::co_spawn(request.exchange.strand(),
                confirmCrash(request.fingerprint, target, healthPath, request.wasAnsweredAfterLoss),
                HTTP::asio::detached);
        }
        if (verdict == ResponseVerdict::Deliver)
            noteAnswered(request);
        noteEvidence(request, target, verdict);
        noteFault(request, target, verdict);
        if (request.stopSignal.reason()) {
            dropResponse(request);
            lastError = Error { *request.stopSignal.reason(), {} };
            co_await refuse(request, lastError);
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
            co_await refuse(request, lastError);
            co_return;
        }
    }
    co_await deliver(request);
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
    uint64_t fingerprint, RegisteredTarget target, std::string healthPath, std::shared_ptr<bool const> wasAnswered)
{
    auto const crashedAt = Core::monotonicNow();
    auto const executor = co_await HTTP::asio::this_coro::executor;
    HTTP::asio::steady_timer timer(executor, crashProbeDelay);
    co_await timer.async_wait(HTTP::useTuple);
    auto const isAlive = co_await m_prober.isResponding(target, std::move(healthPath));
    if (isAlive || *wasAnswered)
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

awaitable<void> EntryHandler::deliver(EntryRequest& request)
{
    auto& exchange = request.exchange;
    // Once there is a response, it is delivered even past the deadline.
    request.deadlineWatchdog->disarm();
    auto head = headForCaller(request);
    auto const latency = Core::monotonicNow() - request.arrivedAt;
    m_metrics.noteResponse(requestClassOf(*request.route), latency);
    m_state.metrics.counter("comfreysail_requests_total", { { "status", std::to_string(head.status) } }).add();
    Telemetry::EventLine("request_answered")
        .add("request_id", request.requestId)
        .add("service", request.service)
        .add("status", head.status)
        .add("sends", request.sends)
        .add("bytes", request.responseBody.size())
        .add("latency_ms", milliseconds(latency))
        .logInfo();
    if (request.response->endsWithConnection) {
        Telemetry::EventLine("answer_without_length")
            .add("request_id", request.requestId)
            .add("target", request.lastTarget)
            .add("bytes", request.responseBody.size())
            .logInfo();
    }
    if (!request.streamingConnection) {
        bool const hasBody = exchange.head().method != "HEAD" && !HTTP::statusForbidsBody(head.status);
        head.chunked = false;
        if (hasBody)
            head.contentLength = request.responseBody.size();
        exchange.startResponse(std::move(head));
        bool isSent = true;
        if (hasBody && !request.responseBody.empty())
            isSent = co_await exchange.sendBody(request.responseBody);
        if (isSent)
            co_await exchange.finish();
        co_return;
    }
    co_await stream(request, std::move(head));
}

awaitable<void> EntryHandler::stream(EntryRequest& request, HTTP::ResponseHead head)
{
    auto& exchange = request.exchange;
    auto const connection = request.streamingConnection;
    StopSignal::Scope const scope(request.stopSignal, [&] {
        connection->close();
        exchange.abort();
    });
    // A target in trouble may send a body without end, and after its own time limit no caller waits for the rest.
    if (request.callerDeadline)
        request.deadlineWatchdog->arm(
            *request.callerDeadline, [&request] { request.stopSignal.stop(ErrorKind::DeadlineExceeded); });
    auto const stallWatchdog = HTTP::Watchdog::create(exchange.strand());
    exchange.startResponse(std::move(head));
    bool isSent = co_await exchange.sendBody(request.responseBody);
    bool isComplete = false;
    // The rest may take long, so it must not hold the memory of the part that was buffered.
    std::string(readBufferSize, '\0').swap(request.responseBody);
    request.responseMemory.release();
    auto& buffer = request.responseBody;
    while (isSent && !isComplete && !request.stopSignal.reason()) {
        stallWatchdog->arm(Core::monotonicNow() + streamStallTimeout, [&connection] { connection->close(); });
        auto const size = co_await connection->readBody(buffer);
        stallWatchdog->disarm();
        if (isError(size))
            break;
        isComplete = valueOf(size) == 0;
        if (!isComplete) {
            std::string_view const piece(buffer.data(), valueOf(size));
            m_metrics.noteBytes(request.isLastTargetInOwnZone, piece.size());
            isSent = co_await exchange.sendBody(piece);
        }
    }
    request.deadlineWatchdog->disarm();
    if (isComplete) {
        m_pool.release(connection, Core::monotonicNow());
        co_await exchange.finish();
        co_return;
    }
    auto const reason = request.stopSignal.reason();
    if (isSent && reason != ErrorKind::CallerGone)
        m_state.directory.noteFault(request.lastTarget, Traffic::TargetFault::Unreachable, Core::monotonicNow());
    Telemetry::EventLine("answer_broken_off")
        .add("request_id", request.requestId)
        .add("target", request.lastTarget)
        .add("reason", reason ? Core::errorName(*reason) : Core::errorName(ErrorKind::ConnectionLost))
        .logInfo();
    m_pool.discard(connection, false);
    exchange.abort();
}

awaitable<void> EntryHandler::refuse(EntryRequest& request, Error const& error)
{
    auto& exchange = request.exchange;
    auto const reason = request.stopSignal.reason().value_or(error.kind);
    auto const latency = Core::monotonicNow() - request.arrivedAt;
    m_state.metrics.counter("comfreysail_refusals_total", { { "error", std::string(Core::errorName(reason)) } }).add();
    Telemetry::EventLine("request_refused")
        .add("request_id", request.requestId)
        .add("service", request.service)
        .add("error", Core::errorName(reason))
        .add("detail", error.detail)
        .add("sends", request.sends)
        .add("may_have_run", request.mayHaveRun)
        .add("latency_ms", milliseconds(latency))
        .logInfo();
    if (exchange.isResponseStarted() || reason == ErrorKind::CallerGone) {
        exchange.abort();
        co_return;
    }
    auto const outcome = request.mayHaveRun ? Core::RequestOutcome::Unknown : Core::RequestOutcome::NotRun;
    auto response = HTTP::errorResponse({ reason, error.detail }, outcome);
    bool const isClientError = response.head.status >= 400 && response.head.status < 500;
    if (!isClientError) {
        constexpr unsigned unavailable = 503;
        constexpr unsigned badGateway = 502;
        constexpr unsigned gatewayTimeout = 504;
        if (!request.mayHaveRun)
            response.head.status = unavailable;
        else
            response.head.status = reason == ErrorKind::DeadlineExceeded ? gatewayTimeout : badGateway;
        if (!request.mayHaveRun) {
            auto const advice = retryAdvice(request, Core::monotonicNow());
            response.head.fields.set(Platform::headerNames().retryAfter, secondsText(advice));
        }
    }
    if (!request.requestId.empty())
        response.head.fields.set(Platform::headerNames().requestId, request.requestId);
    if (!exchange.isBodyFinished())
        exchange.closeAfterResponse();
    co_await exchange.respond(std::move(response.head), response.body);
}

Core::Duration EntryHandler::retryAdvice(EntryRequest const& request, Instant now)
{
    std::optional<Core::Duration> untilReturn;
    auto const& directory = m_state.directory;
    // Targets that are merely full have room again within milliseconds.
    if (directory.eligible(request.service, std::nullopt, m_state.zonesOutOfService, now).empty()) {
        if (auto const first = directory.firstReturn(request.service, now))
            untilReturn = *first - now;
    }
    auto const timeLeft = request.callerDeadline ? std::optional(*request.callerDeadline - now) : std::nullopt;
    return Traffic::retryAfter(untilReturn, timeLeft, uniform());
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
    if (request.stopSignal.reason())
        return;
    switch (verdict) {
    case ResponseVerdict::Deliver:
        directory.noteAnswered(target.id);
        m_state.serviceTimes[request.route->name].note(now - request.sentAt, request.expectedCost);
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
