#include "RequestReceiver.h"

#include "RequestIdentity.h"
#include <algorithm>
#include <charconv>
#include <platform/Platform.h>

namespace Comfreysail::Daemon {

using Core::Empty;
using Core::Error;
using Core::ErrorKind;
using Core::Result;
using HTTP::awaitable;
using namespace std::chrono_literals;

namespace {

constexpr size_t readBufferSize = size_t { 32 } * 1024;
constexpr size_t defaultMaxBodyBytes = size_t { 64 } << 20;
constexpr auto defaultTimeout = 30s;
// A body waits for memory during this fraction of its time, so that a caller who is refused has time to come back.
constexpr int maxMemoryWaitDivisor = 4;

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

}

RequestReceiver::RequestReceiver(TargetSelector& selector, EntryState& state)
    : m_selector(selector)
    , m_state(state)
{
}

double RequestReceiver::uniform() { return std::uniform_real_distribution<double>(0, 1)(m_generator); }

awaitable<Result<Empty>> RequestReceiver::receive(EntryRequest& request)
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
    auto const identified = identifyDepartment(request);
    if (isError(identified))
        co_return errorOf(identified);
    // Its target would not respond before this process ends.
    bool const isTooLate
        = m_state.stopsServingAt && request.arrivedAt + request.route->latencyTarget > *m_state.stopsServingAt;
    if (isTooLate)
        co_return Error { ErrorKind::ShuttingDown, {} };
    request.uniform = uniform();
    request.sheddingDraw = uniform();
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
        .add("department", request.department ? request.department->name : "")
        .add("rank", request.rank)
        .add("left_ms", Core::toMilliseconds(left))
        .add("waited_before_ms", Core::toMilliseconds(request.earlierWait))
        .add("revision", request.plan->revision)
        .add("rows_age_ms", Core::toMilliseconds(request.arrivedAt - m_state.rowsReadAt))
        .logInfo();
    exchange.watchCaller([&request] { request.stopSignal.stop(ErrorKind::CallerGone); },
        request.isIdempotent() ? HTTP::PipeliningMode::ReadAhead : HTTP::PipeliningMode::Sequential);
    if (request.isIdempotent()) {
        auto taken = co_await takeSendSlot(request);
        co_return taken;
    }
    // A request that must not run twice waits until the earlier pipelined responses are sent: one of them may close the
    // connection, and the caller would then send this request again.
    bool const isDeliverable = co_await exchange.waitForEarlierResponses();
    if (!isDeliverable || request.stopSignal.reason())
        co_return Error { request.stopSignal.reason().value_or(ErrorKind::CallerGone), {} };
    auto taken = co_await takeSendSlot(request);
    co_return taken;
}

awaitable<Result<Empty>> RequestReceiver::takeSendSlot(EntryRequest& request)
{
    if (m_state.sendSlots.usedBytes() >= m_state.sendSlots.capacityBytes() && m_state.onSlotShortage)
        m_state.onSlotShortage();
    auto const now = Core::monotonicNow();
    auto const longestWait = (request.deadline - now) / maxMemoryWaitDivisor;
    bool const hasSlot = co_await request.sendSlot.reserve(1, request.stopSignal, now + longestWait);
    if (request.stopSignal.reason())
        co_return Error { *request.stopSignal.reason(), {} };
    if (!hasSlot) {
        request.exchange.noteLimit(HTTP::ClientLimit::RequestsAtTargets);
        co_return Error { ErrorKind::QueueFull, "too many requests at targets" };
    }
    co_return Empty {};
}

Result<Empty> RequestReceiver::identifyDepartment(EntryRequest& request) const
{
    std::vector<std::string_view> values;
    for (auto const& field : request.exchange.head().fields.all()) {
        if (HTTP::equalsIgnoringCase(field.name, "Authorization"))
            values.push_back(field.value);
    }
    auto const identity = identifyRequest(*request.plan, *request.route, values);
    request.department = identity.department;
    request.rank = identity.rank;
    if (!identity.keyFault || !identity.isKeyNeeded)
        return Empty {};
    auto const kind = *identity.keyFault;
    // Never the key, nor a part of it.
    Telemetry::EventLine("api_key_refused")
        .add("request_id", request.requestId)
        .add("reason", Core::errorName(kind))
        .add("route", request.route->name)
        .add("revision", request.plan->revision)
        .add("rows_age_ms", Core::toMilliseconds(request.arrivedAt - m_state.rowsReadAt))
        .logInfo();
    return Error { kind, {} };
}

awaitable<Result<Empty>> RequestReceiver::receiveBody(EntryRequest& request)
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
        body.reserve(length);
    while (!exchange.isBodyFinished()) {
        auto const offset = body.size();
        // Many connections may each hold a buffer, so it is not larger than what is known to come. One byte more lets
        // the end of the body be read.
        auto const readSize = head.chunked ? readBufferSize : std::clamp<size_t>(length - offset, 1, readBufferSize);
        if (!request.bodyMemory.growTo(head.chunked ? offset + readSize : offset))
            co_return Error { ErrorKind::QueueFull, "no memory for the rest of the body" };
        body.resize(offset + readSize);
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

}
