#include "ResponseSender.h"

#include "OverloadInput.h"
#include "TargetPauseWait.h"
#include <platform/Platform.h>

namespace Comfreysail::Daemon {

using Core::Error;
using Core::ErrorKind;
using Core::Instant;
using HTTP::awaitable;
using namespace std::chrono_literals;

namespace {

constexpr size_t readBufferSize = size_t { 32 } * 1024;
// A streamed response body that makes no progress for this long is given up.
constexpr auto streamStallTimeout = 30s;

/// In seconds, with three decimals.
std::string secondsText(Core::Duration duration)
{
    constexpr int64_t millisecondsPerSecond = 1000;
    auto const fraction = std::to_string(Core::toMilliseconds(duration) % millisecondsPerSecond);
    return std::to_string(Core::toMilliseconds(duration) / millisecondsPerSecond) + "."
        + std::string(3 - fraction.size(), '0') + fraction;
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

ResponseSender::ResponseSender(HTTP::ConnectionPool& pool, EntryState& state)
    : m_pool(pool)
    , m_state(state)
    , m_metrics(state.metrics)
{
}

double ResponseSender::uniform() { return std::uniform_real_distribution<double>(0, 1)(m_generator); }

awaitable<bool> ResponseSender::deliver(EntryRequest& request)
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
        .add("latency_ms", Core::toMilliseconds(latency))
        .logInfo();
    if (request.response->endsWithConnection) {
        Telemetry::EventLine("answer_without_length")
            .add("request_id", request.requestId)
            .add("target", request.lastTarget)
            .add("bytes", request.responseBody.size())
            .logInfo();
    }
    if (!request.streamingConnection) {
        // The connection to the target is free, and a client may take long to read.
        request.sendSlot.release();
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
        co_return true;
    }
    bool const isWhole = co_await stream(request, std::move(head));
    co_return isWhole;
}

awaitable<bool> ResponseSender::stream(EntryRequest& request, HTTP::ResponseHead head)
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
    bool hasStalled = false;
    while (isSent && !isComplete && !request.stopSignal.reason()) {
        stallWatchdog->arm(Core::monotonicNow() + streamStallTimeout, [&] {
            hasStalled = true;
            connection->close();
        });
        auto const size = co_await connection->readBody(buffer);
        stallWatchdog->disarm();
        if (isError(size)) {
            request.wasResponseCutOff
                = errorOf(size).kind == ErrorKind::ConnectionLost && !hasStalled && !request.stopSignal.reason();
            break;
        }
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
        co_return true;
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
    co_return false;
}

awaitable<void> ResponseSender::refuse(EntryRequest& request, Error const& error)
{
    auto& exchange = request.exchange;
    request.sendSlot.release();
    auto const reason = request.stopSignal.reason().value_or(error.kind);
    auto const latency = Core::monotonicNow() - request.arrivedAt;
    m_state.metrics.counter("comfreysail_refusals_total", { { "error", std::string(Core::errorName(reason)) } }).add();
    Telemetry::EventLine line("request_refused");
    line.add("request_id", request.requestId)
        .add("service", request.service)
        .add("error", Core::errorName(reason))
        .add("detail", error.detail)
        .add("sends", request.sends)
        .add("may_have_run", request.mayHaveRun)
        .add("latency_ms", Core::toMilliseconds(latency))
        .add("rank", request.rank)
        .add("decision",
            request.shedding ? Overload::describe(request.shedding->first, request.shedding->second) : std::string());
    bool const hasNoTarget = reason == ErrorKind::NoTargetAvailable || reason == ErrorKind::TargetShedRequest;
    auto const leftOut
        = hasNoTarget ? noteStatedExclusions(m_state, request.service, Core::monotonicNow()) : std::string();
    if (!leftOut.empty())
        line.add("left_out", leftOut);
    line.logInfo();
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

Core::Duration ResponseSender::retryAdvice(EntryRequest const& request, Instant now)
{
    auto const timeLeft = request.callerDeadline ? std::optional(*request.callerDeadline - now) : std::nullopt;
    if (auto const pauses = pausesOf(m_state, request, now); !pauses.empty()) {
        auto& queue = m_state.pauseQueues[request.service];
        auto const advice = Traffic::adviseReturn(pauses, queue.ahead(now), timeLeft, uniform(), now);
        if (advice.hasPlace)
            queue.noteReturn(now + advice.after, now);
        return advice.after;
    }
    std::optional<Core::Duration> untilReturn;
    auto const& directory = m_state.directory;
    // Targets that are merely full have room again within milliseconds.
    if (directory.eligible(request.service, std::nullopt, m_state.zonesOutOfService, now).empty()) {
        if (auto const first = directory.firstReturn(request.service, now))
            untilReturn = *first - now;
    }
    auto const input = overloadInputOf(m_state, request, now);
    if (input && input->capacity.isShort && !untilReturn)
        return Overload::retryAfter(*input, m_state.overload.options, uniform());
    return Traffic::retryAfter(untilReturn, timeLeft, uniform());
}

}
