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
using HTTP::ClientConnection;
using Traffic::AnswerVerdict;
using Traffic::RegisteredTarget;
using namespace std::chrono_literals;

namespace {

// A whole response up to this size is kept until it is complete, so that a truncated one can still be replaced.
constexpr size_t maxKeptResponse = size_t { 1 } << 20;
constexpr size_t pieceSize = size_t { 32 } * 1024;
constexpr size_t defaultMaxBodyBytes = size_t { 64 } << 20;
constexpr auto connectTimeout = 400ms;
// One round of questions to targets; an answer takes one or two round trips inside a region.
constexpr auto longestAsk = 40ms;
// The shortest time left in which a send can still be of use to the caller.
constexpr auto shortestUsefulTime = 20ms;
constexpr auto defaultTimeout = 30s;
constexpr unsigned maxForeignResponses = 3;
// A target that crashes closes its connections before its port.
constexpr auto crashDelay = 30ms;
// VMs that were added and are not in the list of members yet, at most.
constexpr unsigned daemonsNotYetMembers = 4;
// Callers that were refused come back within this span, spread so that they do not come together.
constexpr double shortestReturnSeconds = 0.1;
constexpr double longestReturnSeconds = 0.4;

Core::Duration timeLeft(HTTP::RequestHead const& head)
{
    auto const text = head.fields.find(Platform::headerNames().timeLeftMilliseconds);
    int64_t milliseconds = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), milliseconds).ec != std::errc()
        || milliseconds <= 0)
        return defaultTimeout;
    return std::min<Core::Duration>(std::chrono::milliseconds(milliseconds), 24h);
}

int64_t milliseconds(Core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string_view verdictName(AnswerVerdict verdict)
{
    switch (verdict) {
    case AnswerVerdict::Deliver:
        return "deliver";
    case AnswerVerdict::NotRun:
        return "not_run";
    case AnswerVerdict::OtherTarget:
        return "other_target";
    case AnswerVerdict::Failed:
        return "failed";
    case AnswerVerdict::Foreign:
        return "foreign";
    case AnswerVerdict::Invalid:
        break;
    }
    return "invalid";
}

void logChoice(EntryRequest const& request, Traffic::PlacementRequest const& placement, Traffic::Choice const& choice,
    size_t asked)
{
    auto const& load = *choice.target->load;
    Telemetry::EventLine("target_chosen")
        .add("request_id", request.requestId)
        .add("target", choice.target->target.id)
        .add("availability_zone", choice.target->target.availabilityZone)
        .add("version", choice.target->target.version)
        .add("cost", choice.cost)
        .add("running", load.running)
        .add("waiting", load.waiting)
        .add("slots", load.slots)
        .add("slowness", load.slowness)
        .add("sent_since_report", choice.target->sentSinceLoad)
        .add("asked", asked)
        .add("late", placement.isLate)
        .logInfo();
}

HTTP::RequestHead headForTarget(EntryRequest const& request, RegisteredTarget const& target, Instant now)
{
    auto const& names = Platform::headerNames();
    auto head = request.exchange.head();
    HTTP::removeHopByHopFields(head.fields);
    for (auto const name : { "Content-Length", "Expect" })
        head.fields.remove(name);
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

HTTP::ResponseHead headForCaller(EntryRequest const& request)
{
    auto head = *request.response;
    HTTP::removeHopByHopFields(head.fields);
    head.fields.remove("Content-Length");
    head.fields.remove(Platform::headerNames().load);
    // A response without a length ends with the connection here too: that its end is its true end is only presumed, and
    // a length would claim it.
    head.keepAlive = !head.endsWithConnection;
    return head;
}

/// Why none of the targets was chosen, for the log.
std::string describeTargets(std::vector<Traffic::TargetRecord const*> const& eligible, size_t asked, Instant now)
{
    size_t cold = 0;
    size_t full = 0;
    for (auto const* record : eligible) {
        cold += now < record->coldUntil ? 1 : 0;
        full += record->load && record->load->running + record->load->waiting >= record->load->slots ? 1 : 0;
    }
    return "asked " + std::to_string(asked) + " of " + std::to_string(eligible.size()) + ", cold "
        + std::to_string(cold) + ", full " + std::to_string(full);
}

Traffic::AnswerFacts factsOf(EntryRequest const& request, HTTP::ResponseHead const& head)
{
    auto const& names = Platform::headerNames();
    Traffic::AnswerFacts facts;
    facts.status = head.status;
    facts.saysNotRun = head.fields.contains(names.notRun);
    facts.hasSignature = head.fields.contains(names.signature);
    facts.isForThisRequest = head.fields.find(names.requestId) == std::string_view(request.requestId);
    facts.isEncoded = head.fields.contains("Content-Encoding");
    return facts;
}

}

EntryHandler::EntryHandler(HTTP::ConnectionPool& pool, LoadAsker& asker, EntryState& state, std::string vmName,
    std::string ownZone, ReportCrash reportCrash)
    : m_pool(pool)
    , m_asker(asker)
    , m_state(state)
    , m_vmName(std::move(vmName))
    , m_ownZone(std::move(ownZone))
    , m_reportCrash(std::move(reportCrash))
{
}

double EntryHandler::uniform() { return std::uniform_real_distribution<double>(0, 1)(m_generator); }

awaitable<void> EntryHandler::handle(HTTP::ServerExchange& exchange)
{
    ++m_state.activeRequests;
    EntryRequest request(exchange);
    auto const prepared = co_await prepare(request);
    if (isError(prepared))
        co_await refuse(request, errorOf(prepared));
    else
        co_await forward(request);
    request.deadlineWatchdog->disarm();
    --m_state.activeRequests;
}

awaitable<Result<Empty>> EntryHandler::prepare(EntryRequest& request)
{
    auto& exchange = request.exchange;
    auto const& head = exchange.head();
    request.requestId = std::string(head.fields.find(Platform::headerNames().requestId).value_or(""));
    request.plan = m_state.plan;
    if (!request.plan || !m_state.hasReadTargets)
        co_return Error { ErrorKind::SettingsUnavailable, {} };
    request.route = Traffic::findRoute(*request.plan, head.fields.find("Host").value_or(""), head.target);
    if (!request.route)
        co_return Error { ErrorKind::UnknownRoute, {} };
    request.uniform = uniform();
    request.service = Traffic::chooseService(*request.route, uniform());
    auto const left = timeLeft(head);
    auto& longestLeft = m_state.longestTimeLeft[request.route->name];
    longestLeft = std::max(longestLeft, left);
    request.waitedBefore = longestLeft - left;
    request.deadline = request.arrivedAt + std::min(left, request.route->timeout);
    request.deadlineWatchdog->arm(
        request.deadline, [&request] { request.stopSignal.stop(ErrorKind::DeadlineExceeded); });
    StopSignal::Scope const scope(request.stopSignal, [&exchange] { exchange.cancelReadIfReading(); });
    auto const planned = request.plan->limits.maxBodyBytes;
    auto const maxBytes = planned > 0 ? planned : defaultMaxBodyBytes;
    if (head.contentLength.value_or(0) > maxBytes)
        co_return Error { ErrorKind::BodyTooLarge, {} };
    while (!exchange.isBodyFinished()) {
        auto& body = *request.body;
        auto const offset = body.size();
        body.resize(offset + pieceSize);
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
    request.fingerprint = Retry::fingerprintOf({ request.service, head.method, head.target, *request.body });
    if (m_state.quarantine.isRefused(request.fingerprint, request.arrivedAt))
        co_return Error { ErrorKind::RequestQuarantined, {} };
    Telemetry::EventLine("request_arrived")
        .add("request_id", request.requestId)
        .add("route", request.route->name)
        .add("service", request.service)
        .add("left_ms", milliseconds(left))
        .add("waited_before_ms", milliseconds(request.waitedBefore))
        .add("revision", request.plan->revision)
        .add("rows_age_ms", milliseconds(request.arrivedAt - m_state.rowsReadAt))
        .logInfo();
    exchange.watchCaller([&request] { request.stopSignal.stop(ErrorKind::CallerGone); });
    co_return Empty {};
}

awaitable<void> EntryHandler::forward(EntryRequest& request)
{
    m_state.retries.noteFirstSend(request.service);
    Error last { ErrorKind::NoTargetAvailable, {} };
    while (true) {
        auto const selected = co_await selectTarget(request);
        if (isError(selected)) {
            // A response that the target made counts more than the fact that nobody else can take the request.
            if (request.response && !request.stopSignal.reason())
                break;
            if (request.sends == 0)
                last = errorOf(selected);
            co_await refuse(request, last);
            co_return;
        }
        auto const target = valueOf(selected);
        request.response.reset();
        auto const verdict = co_await sendOnce(request, target);
        Telemetry::EventLine("send_ended")
            .add("request_id", request.requestId)
            .add("target", target.id)
            .add("verdict", verdictName(verdict))
            .add("status", request.response ? request.response->status : 0)
            .add("took_ms", milliseconds(Core::monotonicNow() - request.sentAt))
            .add("connection_lost", request.wasConnectionLost)
            .logInfo();
        if (request.wasConnectionLost && !request.stopSignal.reason()) {
            auto const& healthPath = request.plan->services.find(request.service)->second.healthPath;
            HTTP::asio::co_spawn(
                request.exchange.strand(), confirmCrash(request.fingerprint, target, healthPath), HTTP::asio::detached);
        }
        if (verdict == AnswerVerdict::Deliver)
            m_state.quarantine.noteAnswered(request.fingerprint, Core::monotonicNow());
        noteEvidence(request, target, verdict);
        noteFault(request, target, verdict);
        if (request.stopSignal.reason()) {
            if (request.streaming)
                m_pool.discard(request.streaming, false);
            last = Error { *request.stopSignal.reason(), {} };
            co_await refuse(request, last);
            co_return;
        }
        if (verdict == AnswerVerdict::Deliver)
            break;
        // Only a whole response of the target's own may reach the caller when no other target can take the request.
        if (verdict != AnswerVerdict::Failed)
            request.response.reset();
        request.triedTargets.push_back(target.id);
        bool const hasNotRun = verdict == AnswerVerdict::NotRun || verdict == AnswerVerdict::OtherTarget;
        last = { hasNotRun ? ErrorKind::TargetShedRequest : ErrorKind::ConnectionLost, {} };
        if (!maySendAgain(request, verdict, Core::monotonicNow())) {
            if (verdict == AnswerVerdict::Failed)
                break;
            co_await refuse(request, last);
            co_return;
        }
    }
    co_await deliver(request);
}

bool EntryHandler::maySendAgain(EntryRequest& request, AnswerVerdict verdict, Instant now)
{
    bool const hasNotRun = verdict == AnswerVerdict::NotRun || verdict == AnswerVerdict::OtherTarget;
    if (!hasNotRun && !request.isIdempotent())
        return false;
    if (request.sends >= request.route->maxTargets && !hasNotRun)
        return false;
    if (request.deadline - now < shortestUsefulTime)
        return false;
    return m_state.retries.tryTake(request.service);
}

awaitable<Result<RegisteredTarget>> EntryHandler::selectTarget(EntryRequest& request)
{
    auto const placement = placementOf(request);
    auto const& plan = *request.plan;
    auto const service = plan.services.find(request.service);
    if (service == plan.services.end())
        co_return Error { ErrorKind::NoTargetAvailable, "the service is not in the settings" };
    if (m_state.servicesWithoutLoad.contains(request.service)) {
        auto const* const target
            = Traffic::lessBusyOfTwo(eligibleTargets(request), placement, m_generator(), Core::monotonicNow());
        if (target)
            co_return target->target;
        co_return Error { ErrorKind::NoTargetAvailable, {} };
    }
    auto selected = co_await askAndChoose(request, service->second.healthPath, placement);
    if (isError(selected) && !request.stopSignal.reason()) {
        if (auto const cold = coldTarget(request))
            co_return *cold;
    }
    co_return selected;
}

std::optional<RegisteredTarget> EntryHandler::coldTarget(EntryRequest const& request)
{
    auto const now = Core::monotonicNow();
    auto const eligible = eligibleTargets(request);
    bool const areAllCold
        = std::ranges::all_of(eligible, [now](auto const* record) { return now < record->coldUntil; });
    if (!areAllCold)
        return std::nullopt;
    auto const service = request.plan->services.find(request.service);
    auto const members = m_state.sharedRows.table(Platform::Table::members).size();
    for (auto const* record : eligible) {
        auto const& id = record->target.id;
        bool const wasTried = std::ranges::find(request.triedTargets, id) != request.triedTargets.end();
        if (!wasTried
            && m_state.coldSends.tryTake(id, service->second.coldRequestsPerSecond,
                static_cast<unsigned>(members) + daemonsNotYetMembers, uniform(), now))
            return record->target;
    }
    return std::nullopt;
}

awaitable<void> EntryHandler::confirmCrash(uint64_t fingerprint, RegisteredTarget target, std::string healthPath)
{
    auto const executor = co_await HTTP::asio::this_coro::executor;
    HTTP::asio::steady_timer timer(executor, crashDelay);
    co_await timer.async_wait(HTTP::useTuple);
    auto const isAlive = co_await m_asker.answers(target, std::move(healthPath));
    if (isAlive)
        co_return;
    auto const instance = target.id + "@" + std::to_string(target.startedAt);
    Telemetry::EventLine("target_crashed_with_request")
        .add("target", instance)
        .add("fingerprint", Core::toHex(fingerprint))
        .logWarning();
    m_state.quarantine.noteCrash({ fingerprint, instance }, Core::monotonicNow());
    m_reportCrash(fingerprint, instance);
}

Traffic::PlacementRequest EntryHandler::placementOf(EntryRequest const& request)
{
    Traffic::PlacementRequest placement;
    placement.ownZone = m_ownZone;
    placement.isDownload = request.route->isDownload;
    placement.excludedTargets = request.triedTargets;
    auto const found = m_state.serviceTimes.find(request.route->name);
    auto const waited = request.waitedBefore + (Core::monotonicNow() - request.arrivedAt);
    auto const usual = found == m_state.serviceTimes.end() ? Core::Duration {} : found->second.usual();
    // Without a latency target there is no time within which the response has to be there.
    bool const hasLatencyTarget = request.route->latencyTarget.count() > 0;
    placement.isLate = hasLatencyTarget && waited + usual > request.route->latencyTarget;
    bool const mayWait = m_state.waitingWorth[request.route->name].pays(request.uniform);
    if (found != m_state.serviceTimes.end() && mayWait) {
        placement.maxCostWithWaiting = found->second.costWithin(request.route->latencyTarget - waited);
    }
    return placement;
}

awaitable<Result<RegisteredTarget>> EntryHandler::askAndChoose(
    EntryRequest& request, std::string const& healthPath, Traffic::PlacementRequest const& placement)
{
    Traffic::PlacementOptions const options;
    auto const eligibleNow = [&] { return eligibleTargets(request); };
    auto const best = [&] { return Traffic::bestTarget(eligibleNow(), placement, options, Core::monotonicNow()); };
    auto const isGood = [&] {
        auto const choice = best();
        return choice && choice->cost <= options.goodEnoughCost;
    };
    std::vector<std::string> asked;
    for (unsigned round = 0; round < options.maxRounds; ++round) {
        auto const toAsk = Traffic::targetsToAsk(eligibleNow(), placement, asked, options, m_generator());
        if (toAsk.empty())
            break;
        std::vector<std::string> ids;
        for (auto const* record : toAsk)
            ids.push_back(record->target.id);
        asked.insert(asked.end(), ids.begin(), ids.end());
        co_await m_asker.ask(ids, healthPath, longestAsk, isGood);
        if (request.stopSignal.reason())
            co_return Error { *request.stopSignal.reason(), {} };
        if (isGood())
            break;
    }
    auto const choice = best();
    if (choice) {
        logChoice(request, placement, *choice, asked.size());
        request.expectedCost = choice->cost;
        request.waitsAtTarget = choice->isWaiting;
        co_return choice->target->target;
    }
    co_return Error { ErrorKind::NoTargetAvailable,
        describeTargets(eligibleNow(), asked.size(), Core::monotonicNow()) };
}

std::vector<Traffic::TargetRecord const*> EntryHandler::eligibleTargets(EntryRequest const& request) const
{
    auto const now = Core::monotonicNow();
    auto const version = allowedVersion(m_state, request.service, request.uniform, now);
    auto eligible = m_state.directory.eligible(request.service, version, m_state.zonesOut, now);
    return Traffic::targetsOfDaemon(std::move(eligible), m_vmName, {});
}

awaitable<std::shared_ptr<ClientConnection>> EntryHandler::connect(
    EntryRequest& request, HTTP::Endpoint const& endpoint)
{
    auto connection = m_pool.create(endpoint);
    auto const close = [&connection] { connection->close(); };
    StopSignal::Scope const scope(request.stopSignal, close);
    auto const watchdog = HTTP::Watchdog::create(request.exchange.strand());
    watchdog->arm(Core::monotonicNow() + connectTimeout, close);
    auto const connected = co_await connection->connect();
    watchdog->disarm();
    if (isError(connected))
        co_return nullptr;
    co_return connection;
}

awaitable<AnswerVerdict> EntryHandler::sendOnce(EntryRequest& request, RegisteredTarget const& target)
{
    HTTP::Endpoint const endpoint { target.address, target.port };
    ++request.sends;
    request.wasConnectionLost = false;
    request.lastTarget = target.id;
    // The question for its load was answered on this connection a moment ago, so the target still reads from it.
    auto const policy = request.isIdempotent() ? HTTP::ReusePolicy::Any : HTTP::ReusePolicy::RecentlyUsed;
    auto connection = m_pool.take(endpoint, policy, Core::monotonicNow());
    if (!connection)
        connection = co_await connect(request, endpoint);
    if (!connection || request.stopSignal.reason()) {
        if (!request.stopSignal.reason())
            m_state.directory.noteFault(target.id, Traffic::TargetFault::Unreachable, Core::monotonicNow());
        co_return AnswerVerdict::NotRun;
    }
    m_state.directory.noteSent(target.id);
    request.sentAt = Core::monotonicNow();
    bool const mayHaveRunBefore = std::exchange(request.mayHaveRun, true);
    auto verdict = AnswerVerdict::NotRun;
    {
        StopSignal::Scope const scope(request.stopSignal, [&connection] { connection->close(); });
        auto const head = headForTarget(request, target, request.sentAt);
        auto const sent = co_await connection->send(head, request.body);
        if (isError(sent))
            m_pool.discard(connection, false);
        else
            verdict = co_await receive(request, target, connection);
    }
    m_state.directory.noteEnded(target.id);
    if (verdict == AnswerVerdict::NotRun || verdict == AnswerVerdict::OtherTarget)
        request.mayHaveRun = mayHaveRunBefore;
    co_return verdict;
}

awaitable<AnswerVerdict> EntryHandler::receive(
    EntryRequest& request, RegisteredTarget const& target, std::shared_ptr<ClientConnection> const& connection)
{
    for (unsigned foreign = 0; foreign < maxForeignResponses; ++foreign) {
        auto head = co_await connection->readHead(request.exchange.head().method);
        if (isError(head)) {
            request.wasConnectionLost = errorOf(head).kind == ErrorKind::ConnectionLost;
            m_pool.discard(connection, request.stopSignal.reason() == ErrorKind::DeadlineExceeded);
            co_return AnswerVerdict::Invalid;
        }
        request.response = takeValue(std::move(head));
        auto const verdict = Traffic::judgeAnswer(factsOf(request, *request.response));
        auto const load = request.response->fields.find(Platform::headerNames().load);
        if (auto const parsed = Traffic::parseTargetLoad(load.value_or("")))
            m_state.directory.noteLoad(target.id, *parsed, Core::monotonicNow());
        bool const isComplete = co_await readBody(request, *connection);
        if (verdict == AnswerVerdict::Foreign && isComplete && !request.streaming)
            continue;
        if (request.streaming && verdict == AnswerVerdict::Deliver && !request.stopSignal.reason()) {
            request.streaming = connection;
            co_return verdict;
        }
        request.streaming = nullptr;
        if (connection->isSending()) {
            // The target answered before it had read the body; the connection cannot carry another request.
            connection->close();
            co_await connection->waitForSender();
        }
        if (!isComplete || verdict == AnswerVerdict::Foreign) {
            m_pool.discard(connection, false);
            co_return verdict == AnswerVerdict::NotRun || verdict == AnswerVerdict::OtherTarget
                ? verdict
                : AnswerVerdict::Invalid;
        }
        m_pool.giveBack(connection, Core::monotonicNow());
        co_return verdict;
    }
    m_pool.discard(connection, false);
    co_return AnswerVerdict::Invalid;
}

awaitable<bool> EntryHandler::readBody(EntryRequest& request, ClientConnection& connection)
{
    auto& body = request.responseBody;
    body.clear();
    while (true) {
        auto const offset = body.size();
        body.resize(offset + pieceSize);
        auto const size = co_await connection.readBody(std::span(body).subspan(offset));
        body.resize(offset + (isError(size) ? 0 : valueOf(size)));
        if (isError(size))
            co_return false;
        if (valueOf(size) == 0)
            co_return true;
        if (body.size() > maxKeptResponse) {
            request.streaming = connection.shared_from_this();
            co_return true;
        }
    }
}

awaitable<void> EntryHandler::deliver(EntryRequest& request)
{
    auto& exchange = request.exchange;
    auto head = headForCaller(request);
    auto const latency = Core::monotonicNow() - request.arrivedAt;
    m_state.metrics.histogram("comfreysail_request_seconds", { { "route", request.route->name } }).add(latency);
    m_state.metrics.counter("comfreysail_requests_total", { { "status", std::to_string(head.status) } }).add();
    Telemetry::EventLine("request_answered")
        .add("request_id", request.requestId)
        .add("service", request.service)
        .add("status", head.status)
        .add("sends", request.sends)
        .add("bytes", request.responseBody.size())
        .add("latency_ms", milliseconds(latency))
        .logInfo();
    if (head.endsWithConnection) {
        Telemetry::EventLine("answer_without_length")
            .add("request_id", request.requestId)
            .add("target", request.lastTarget)
            .add("bytes", request.responseBody.size())
            .logInfo();
    }
    if (!request.streaming) {
        bool const hasBody = exchange.head().method != "HEAD" && !HTTP::statusForbidsBody(head.status);
        head.chunked = false;
        if (hasBody && !head.endsWithConnection)
            head.contentLength = request.responseBody.size();
        exchange.startResponse(std::move(head));
        bool isSent = true;
        if (hasBody && !request.responseBody.empty())
            isSent = co_await exchange.sendBody(request.responseBody);
        if (isSent)
            co_await exchange.finish();
        co_return;
    }
    auto const connection = request.streaming;
    StopSignal::Scope const scope(request.stopSignal, [&] {
        connection->close();
        exchange.abort();
    });
    exchange.startResponse(std::move(head));
    bool isSent = co_await exchange.sendBody(request.responseBody);
    bool isComplete = false;
    std::vector<char> buffer(pieceSize);
    while (isSent && !isComplete && !request.stopSignal.reason()) {
        auto const size = co_await connection->readBody(buffer);
        if (isError(size))
            break;
        isComplete = valueOf(size) == 0;
        if (!isComplete) {
            std::string_view const piece(buffer.data(), valueOf(size));
            isSent = co_await exchange.sendBody(piece);
        }
    }
    if (isComplete) {
        m_pool.giveBack(connection, Core::monotonicNow());
        co_await exchange.finish();
        co_return;
    }
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
    bool const isCallersFault = response.head.status >= 400 && response.head.status < 500;
    if (!isCallersFault) {
        constexpr unsigned unavailable = 503;
        constexpr unsigned badGateway = 502;
        constexpr unsigned gatewayTimeout = 504;
        if (!request.mayHaveRun)
            response.head.status = unavailable;
        else
            response.head.status = reason == ErrorKind::DeadlineExceeded ? gatewayTimeout : badGateway;
        if (!request.mayHaveRun) {
            auto const seconds = shortestReturnSeconds + (longestReturnSeconds - shortestReturnSeconds) * uniform();
            response.head.fields.set(Platform::headerNames().retryAfter, std::to_string(seconds).substr(0, 5));
        }
    }
    if (!request.requestId.empty())
        response.head.fields.set(Platform::headerNames().requestId, request.requestId);
    if (!exchange.isBodyFinished())
        exchange.closeAfterResponse();
    co_await exchange.respond(std::move(response.head), response.body);
}

void EntryHandler::noteEvidence(EntryRequest const& request, RegisteredTarget const& target, AnswerVerdict verdict)
{
    auto const found = m_state.moves.find(target.service);
    bool const isEvidence = verdict == AnswerVerdict::Deliver || verdict == AnswerVerdict::Failed
        || (verdict == AnswerVerdict::Invalid && request.stopSignal.reason() == ErrorKind::DeadlineExceeded);
    if (found == m_state.moves.end() || !isEvidence)
        return;
    auto& progress = found->second;
    auto& side = target.version == progress.move.toVersion ? progress.newVersion : progress.oldVersion;
    ++side.requests;
    if (verdict == AnswerVerdict::Failed)
        ++side.failures;
    auto const latencyTarget = request.route->latencyTarget;
    if (latencyTarget.count() > 0 && Core::monotonicNow() - request.sentAt > latencyTarget)
        ++side.slow;
}

void EntryHandler::noteFault(EntryRequest const& request, RegisteredTarget const& target, AnswerVerdict verdict)
{
    auto const now = Core::monotonicNow();
    auto& directory = m_state.directory;
    if (request.stopSignal.reason())
        return;
    switch (verdict) {
    case AnswerVerdict::Deliver:
        directory.noteAnswered(target.id);
        m_state.serviceTimes[request.route->name].note(now - request.sentAt, request.expectedCost);
        if (request.waitsAtTarget)
            m_state.waitingWorth[request.route->name].note(now - request.arrivedAt <= request.route->latencyTarget);
        break;
    case AnswerVerdict::OtherTarget:
        directory.noteFault(target.id, Traffic::TargetFault::OtherTarget, now);
        break;
    case AnswerVerdict::Failed:
    case AnswerVerdict::NotRun:
        directory.noteFault(target.id, Traffic::TargetFault::FailedRequest, now);
        break;
    case AnswerVerdict::Foreign:
    case AnswerVerdict::Invalid:
        directory.noteFault(target.id, Traffic::TargetFault::Unreachable, now);
        break;
    }
}

}
