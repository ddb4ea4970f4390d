#include "TargetExchange.h"

#include "EntryMetrics.h"
#include "OverloadInput.h"
#include <LibCore/Hash.h>
#include <algorithm>
#include <platform/Platform.h>

namespace Comfreysail::Daemon {

using Core::ErrorKind;
using Core::Instant;
using HTTP::awaitable;
using HTTP::ClientConnection;
using Traffic::RegisteredTarget;
using Traffic::ResponseVerdict;
using namespace std::chrono_literals;

namespace {

// Responses up to this size are buffered until they are complete, so that a truncated one can still be retried.
constexpr size_t maxBufferedResponseBytes = size_t { 1 } << 20;
constexpr size_t readBufferSize = size_t { 32 } * 1024;
constexpr auto connectTimeout = 400ms;
constexpr unsigned maxForeignResponses = 3;

HTTP::RequestHead headForTarget(EntryRequest const& request, RegisteredTarget const& target, Instant now)
{
    auto const& names = Platform::headerNames();
    auto head = request.exchange.head();
    HTTP::removeHopByHopFields(head.fields);
    for (auto const name : { "Content-Length", "Expect" })
        head.fields.remove(name);
    if (request.plan->keys) {
        head.fields.remove("Authorization");
        head.fields.remove(names.department);
        if (request.department)
            head.fields.set(names.department, request.department->name);
    }
    head.keepAlive = true;
    head.chunked = false;
    bool const hasLength = request.exchange.head().hasBody() || request.exchange.head().contentLength;
    head.contentLength = hasLength ? std::optional<uint64_t>(request.body->size()) : std::nullopt;
    auto const left = std::chrono::floor<std::chrono::milliseconds>(request.deadline - now).count();
    head.fields.set(names.timeLeftMilliseconds, std::to_string(std::max<int64_t>(left, 1)));
    head.fields.set(names.expectedTarget, target.id);
    if (!request.requestId.empty())
        head.fields.set(names.requestId, request.requestId);
    return head;
}

Traffic::ResponseId responseIdOf(HTTP::ResponseHead const& head, std::string_view requestId)
{
    auto const id = head.fields.find(Platform::headerNames().requestId);
    if (!id)
        return Traffic::ResponseId::None;
    return *id == requestId ? Traffic::ResponseId::OfThisRequest : Traffic::ResponseId::OfAnotherRequest;
}

Traffic::ResponseFacts factsOf(EntryRequest const& request, HTTP::ResponseHead const& head, bool isConnectionReused)
{
    auto const& names = Platform::headerNames();
    Traffic::ResponseFacts facts;
    facts.status = head.status;
    facts.statesNotRun = head.fields.contains(names.notRun);
    facts.hasSignature = head.fields.contains(names.signature);
    facts.id = responseIdOf(head, request.requestId);
    facts.isEncoded = head.fields.contains("Content-Encoding");
    facts.isConnectionReused = isConnectionReused;
    return facts;
}

}

TargetExchange::TargetExchange(HTTP::ConnectionPool& pool, EntryState& state)
    : m_pool(pool)
    , m_state(state)
{
}

awaitable<std::shared_ptr<ClientConnection>> TargetExchange::connect(
    EntryRequest& request, HTTP::Endpoint const& endpoint)
{
    if (!m_pool.makeRoom(HTTP::ConnectionUse::Request)) {
        request.wasConnectRefusedHere = true;
        co_return nullptr;
    }
    auto connection = m_pool.create(endpoint);
    auto const close = [&connection] { connection->close(); };
    StopSignal::Scope const scope(request.stopSignal, close);
    auto const watchdog = HTTP::Watchdog::create(request.exchange.strand());
    watchdog->arm(Core::monotonicNow() + connectTimeout, close);
    auto const connected = co_await connection->connect();
    watchdog->disarm();
    if (isError(connected)) {
        request.wasConnectRefusedHere = connection->hasFailedLocally();
        co_return nullptr;
    }
    countTargetConnection(m_state, "request");
    co_return connection;
}

awaitable<ResponseVerdict> TargetExchange::sendOnce(EntryRequest& request, RegisteredTarget const& target)
{
    HTTP::Endpoint const endpoint { target.address, target.port };
    ++request.sends;
    request.wasConnectionLost = false;
    request.wasResponseCutOff = false;
    request.wasConnectRefusedHere = false;
    request.sentAt = {};
    request.lastTarget = target.id;
    request.lastLocalPort = 0;
    // A request that must not run twice uses only a connection that was active a moment ago, usually by a load probe:
    // the target still reads from it.
    auto const policy = request.isIdempotent() ? HTTP::ReusePolicy::Any : HTTP::ReusePolicy::RecentlyUsed;
    auto const idHash = Core::hashBytes(request.requestId);
    auto connection = m_pool.take(endpoint, policy, Core::monotonicNow(), idHash);
    if (!connection)
        connection = co_await connect(request, endpoint);
    if (!connection || request.stopSignal.reason()) {
        // After a pause of this process, a timeout says nothing about the target.
        bool const saysNothing = request.wasConnectRefusedHere || request.wasPausedSinceSelection(m_state);
        if (!request.stopSignal.reason() && !saysNothing)
            m_state.directory.noteFault(target.id, Traffic::TargetFault::Unreachable, Core::monotonicNow());
        co_return ResponseVerdict::NotRun;
    }
    // A send cannot be taken back, so this is checked last.
    if (request.wasPausedSinceSelection(m_state)) {
        m_pool.discard(connection, false);
        co_return ResponseVerdict::NotRun;
    }
    request.lastLocalPort = connection->localPort();
    connection->noteRequestId(idHash);
    m_state.directory.noteSent(target.id);
    m_state.overload.departments.noteSent(Access::nameOf(request.department), Core::monotonicNow());
    request.sentAt = Core::monotonicNow();
    bool const mayHaveRunBefore = std::exchange(request.mayHaveRun, true);
    auto const counted = countSend(m_state.usage.get(), Access::nameOf(request.department), request.sentAt);
    auto verdict = ResponseVerdict::NotRun;
    {
        StopSignal::Scope const scope(request.stopSignal, [&connection] { connection->close(); });
        std::optional<HTTP::RequestHead> head = headForTarget(request, target, request.sentAt);
        auto const sent = co_await connection->send(*head, request.body);
        // A head with many fields takes a multiple of its size, and the response may take long.
        head.reset();
        if (isError(sent))
            m_pool.discard(connection, false);
        else
            verdict = co_await receive(request, target, connection);
    }
    m_state.directory.noteEnded(target.id);
    m_state.overload.departments.noteFinished(Access::nameOf(request.department), Core::monotonicNow());
    if (verdict == ResponseVerdict::NotRun || verdict == ResponseVerdict::OtherTarget) {
        request.mayHaveRun = mayHaveRunBefore;
        takeBackSend(m_state.usage.get(), counted);
    }
    co_return verdict;
}

awaitable<ResponseVerdict> TargetExchange::receive(
    EntryRequest& request, RegisteredTarget const& target, std::shared_ptr<ClientConnection> const& connection)
{
    bool const isConnectionReused = connection->lastResponseAt().has_value();
    for (unsigned foreign = 0; foreign < maxForeignResponses; ++foreign) {
        auto head = co_await connection->readHead(request.exchange.head().method);
        if (isError(head)) {
            request.wasConnectionLost = errorOf(head).kind == ErrorKind::ConnectionLost;
            m_pool.discard(connection, request.stopSignal.reason() == ErrorKind::DeadlineExceeded);
            co_return ResponseVerdict::Invalid;
        }
        request.response = takeValue(std::move(head));
        auto const facts = factsOf(request, *request.response, isConnectionReused);
        auto const verdict = Traffic::classifyResponse(facts);
        auto const load = request.response->fields.find(Platform::headerNames().load);
        if (auto const parsed = Traffic::parseTargetLoad(load.value_or(""))) {
            m_state.directory.noteLoad(target.id, *parsed, Core::monotonicNow());
            // The target reports load after all: a single response without the field must not stop probing for good.
            m_state.servicesWithoutLoadReports.erase(target.service);
        }
        // The response of another target, at an address that was given away, says nothing about this one.
        if (facts.id == Traffic::ResponseId::OfThisRequest && verdict != ResponseVerdict::OtherTarget)
            noteTargetSignals(request, target);
        bool const isComplete = co_await readBody(request, *connection);
        if (verdict == ResponseVerdict::Foreign && isComplete && !request.streamingConnection)
            continue;
        bool const mayReachCaller = verdict == ResponseVerdict::Deliver || verdict == ResponseVerdict::Failed;
        if (request.streamingConnection && mayReachCaller && !request.stopSignal.reason()) {
            request.streamingConnection = connection;
            co_return verdict;
        }
        request.streamingConnection = nullptr;
        if (connection->isSending()) {
            // The target responded before it had read the whole request body, so the connection cannot be reused.
            connection->close();
            co_await connection->waitForSender();
        }
        if (!isComplete || verdict == ResponseVerdict::Foreign) {
            m_pool.discard(connection, false);
            co_return verdict == ResponseVerdict::NotRun || verdict == ResponseVerdict::OtherTarget
                ? verdict
                : ResponseVerdict::Invalid;
        }
        // A target that sent a response to another request may send more of them.
        if (foreign > 0)
            m_pool.discard(connection, false);
        else
            m_pool.release(connection, Core::monotonicNow());
        co_return verdict;
    }
    m_pool.discard(connection, false);
    co_return ResponseVerdict::Invalid;
}

void TargetExchange::noteTargetSignals(EntryRequest const& request, RegisteredTarget const& target)
{
    constexpr unsigned unavailable = 503;
    auto signals = Platform::decodeTargetSignals(request.response->fields);
    if (request.response->status != unavailable)
        signals.retryAfter.reset();
    noteSignals(m_state, target.id, signals, false, request.sentAt, Core::monotonicNow(),
        typicalWorkOf(m_state, request.route->name));
}

awaitable<bool> TargetExchange::readBody(EntryRequest& request, ClientConnection& connection)
{
    auto& body = request.responseBody;
    body.clear();
    while (true) {
        auto const offset = body.size();
        body.resize(offset + readBufferSize);
        auto const size = co_await connection.readBody(std::span(body).subspan(offset));
        body.resize(offset + (isError(size) ? 0 : valueOf(size)));
        if (isError(size)) {
            request.wasResponseCutOff = errorOf(size).kind == ErrorKind::ConnectionLost && !request.stopSignal.reason();
            co_return false;
        }
        if (valueOf(size) == 0)
            co_return true;
        // Without memory for more, the response is passed on as it arrives, and can no longer be retried if it breaks
        // off.
        bool const mayBufferMore = body.size() <= maxBufferedResponseBytes
            && (body.size() <= readBufferSize || request.responseMemory.growTo(body.size() + readBufferSize));
        if (!mayBufferMore) {
            request.streamingConnection = connection.shared_from_this();
            co_return true;
        }
    }
}

}
