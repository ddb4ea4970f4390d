#include "RequestHandler.h"

#include "Classifier.h"
#include "HomeHop.h"
#include "RequestBody.h"
#include <algorithm>
#include <random>

namespace Comfreysail::Daemon {

using Core::Empty;
using Core::Error;
using Core::ErrorKind;
using Core::Result;
using HTTP::awaitable;
using Kind = ForwardResult::Kind;

namespace {

// Each round excludes a home or zone that failed, so the rounds end by themselves. The limit guards against a bug
// there.
constexpr unsigned maxRounds = 8;
constexpr unsigned maxHops = 2;

/// Counts in-flight requests, so that a shutdown can wait for them.
class ActiveRequestGuard {
public:
    explicit ActiveRequestGuard(std::atomic<unsigned>& count)
        : m_count(count)
    {
        ++m_count;
    }
    ~ActiveRequestGuard() { --m_count; }
    ActiveRequestGuard(ActiveRequestGuard const&) = delete;
    ActiveRequestGuard& operator=(ActiveRequestGuard const&) = delete;

private:
    std::atomic<unsigned>& m_count;
};

uint32_t randomDraw()
{
    thread_local std::mt19937 generator { std::random_device {}() };
    return generator();
}

/// Returns Unknown if any send may have run the request, regardless of the last error.
Core::RequestOutcome outcomeFor(RequestContext const& context, ErrorKind kind)
{
    return context.mayHaveRun ? Core::RequestOutcome::Unknown : Core::errorRule(kind).outcome;
}

}

RequestHandler::RequestHandler(DaemonServices& services)
    : m_services(services)
    , m_targetSender(services)
{
}

awaitable<void> RequestHandler::handle(HTTP::ServerExchange& exchange, Origin origin)
{
    ActiveRequestGuard const active(m_services.activeRequests);
    RequestContext context(exchange, origin);
    context.arrivedAt = Core::monotonicNow();
    auto const prepared = co_await prepare(context);
    if (isError(prepared)) {
        co_await refuse(context, errorOf(prepared));
        co_return;
    }
    m_services.retries.noteCall(context.classification.service, context.classification.settings.retryPercent);
    auto const result = co_await forward(context);
    m_services.claims.finish(context);
    if (result.kind == Kind::Answered)
        recordEnd(context, nullptr);
    else
        co_await refuse(context, result.error);
}

awaitable<Result<Empty>> RequestHandler::prepare(RequestContext& context)
{
    // Use the settings that the routing table was built from, so that a new service is known only once it can be
    // routed.
    auto const settings = m_services.routing.current()->settings;
    if (m_services.refusesNewRequests)
        co_return Error { ErrorKind::ShuttingDown, {} };
    // A draining daemon is no longer eligible as a home, but it serves requests until the platform's balancer has
    // noticed.
    auto const refusal = m_services.controlPlane.refusal();
    if (refusal && *refusal != ErrorKind::ShuttingDown)
        co_return Error { *refusal, {} };
    if (!settings)
        co_return Error { ErrorKind::SettingsUnavailable, {} };
    auto classified = classify(context.exchange.head(), *settings->tree, context.origin, context.arrivedAt);
    if (isError(classified))
        co_return errorOf(classified);
    context.classification = takeValue(std::move(classified));
    if (m_services.controlPlane.departmentsOut()->contains(context.classification.department))
        co_return Error { ErrorKind::UnknownDepartment, "the department has left" };
    auto const& chosen = context.classification.chosenGroup;
    context.draw = chosen ? chosen->draw : randomDraw();
    applyDepartmentMove(context, *settings->tree);
    armDeadline(context);
    StopSignal::Scope const scope(context.stopSignal, [&context] { context.exchange.cancelPendingRead(); });
    auto buffered = co_await bufferBody(context);
    if (context.stopSignal.reason())
        co_return Error { ErrorKind::DeadlineExceededInQueue, "the body did not arrive in time" };
    if (isError(buffered))
        co_return buffered;
    auto const& classification = context.classification;
    context.fingerprint = Retry::fingerprintOf(
        { classification.service, context.exchange.head().method, context.exchange.head().target, *context.body });
    if (m_services.retries.isQuarantined(context.fingerprint, context.arrivedAt))
        co_return Error { ErrorKind::RequestQuarantined, {} };
    if (!context.isStreamed)
        context.exchange.watchCaller([&context] { context.stopSignal.stop(ErrorKind::CallerGone); });
    co_return Empty {};
}

void RequestHandler::applyDepartmentMove(RequestContext& context, Settings::SettingsTree const& tree)
{
    auto& classification = context.classification;
    auto const department = m_services.controlPlane.departmentFor(
        classification.service, classification.department, context.draw / drawRange);
    classification.effectiveDepartment = department;
    if (department != classification.department)
        classification.settings = Settings::effectiveSettings(tree, classification.service, department);
}

awaitable<ForwardResult> RequestHandler::forward(RequestContext& context)
{
    ForwardResult last { Kind::Refused, { ErrorKind::NoTargetAvailable, {} } };
    for (unsigned round = 0; round < maxRounds; ++round) {
        auto const chosen = chooseGroup(m_services, context);
        if (isError(chosen))
            co_return round == 0 ? ForwardResult { Kind::Refused, errorOf(chosen) } : last;
        auto const& choice = valueOf(chosen);
        last = co_await forwardOnce(context, choice);
        if (last.kind != Kind::TryOtherZone || context.stopSignal.reason())
            co_return last;
    }
    co_return last;
}

awaitable<ForwardResult> RequestHandler::forwardOnce(RequestContext& context, GroupChoice const& choice)
{
    // A claim is held by this daemon, so a request that has one is not forwarded.
    bool const goesToHome = choice.home && !context.claim && context.classification.hops < maxHops
        && std::ranges::find(context.failedHomes, choice.home->name) == context.failedHomes.end();
    if (goesToHome) {
        auto result = co_await forwardToHome(m_services, context, choice);
        context.failedHomes.push_back(choice.home->name);
        co_return result;
    }
    auto spilled = co_await trySpill(context, choice);
    if (spilled)
        co_return *std::move(spilled);
    auto result = co_await m_targetSender.run(context, choice);
    context.failedZones.push_back(choice.group.availabilityZone);
    co_return result;
}

awaitable<std::optional<ForwardResult>> RequestHandler::trySpill(RequestContext& context, GroupChoice const& choice)
{
    bool const maySpill = !choice.home && !context.claim && !context.wasSpilled && !context.isStreamed
        && context.attempt == 0 && context.classification.hops < maxHops;
    if (!maySpill)
        co_return std::nullopt;
    auto const sentAt = Core::monotonicNow();
    auto const sibling = choice.dispatcher->chooseSpillSibling(sentAt);
    if (!sibling)
        co_return std::nullopt;
    context.wasSpilled = true;
    std::optional<ForwardResult> result;
    auto const other = chooseSpillGroup(m_services, context, choice, *sibling);
    if (other && other->home)
        result = co_await forwardToHome(m_services, context, *other);
    else if (other)
        result = co_await m_targetSender.run(context, *other);
    choice.dispatcher->noteSpillFinished(*sibling, sentAt);
    // If the other zone could not serve the request, this daemon's own zone tries it.
    if (result && result->kind == Kind::TryOtherZone && !context.stopSignal.reason())
        co_return std::nullopt;
    co_return result;
}

awaitable<void> RequestHandler::refuse(RequestContext& context, Error const& error)
{
    auto& exchange = context.exchange;
    recordEnd(context, &error);
    if (exchange.isResponseStarted() || error.kind == ErrorKind::CallerGone) {
        exchange.abort();
        co_return;
    }
    auto const kind = error.kind == ErrorKind::DeadlineExceeded && !context.mayHaveRun
        ? ErrorKind::DeadlineExceededInQueue
        : error.kind;
    auto response = HTTP::errorResponse({ kind, error.detail }, outcomeFor(context, kind));
    if (!context.classification.requestId.empty())
        response.head.fields.set(Core::Header::requestId, context.classification.requestId);
    if (!exchange.isBodyFinished())
        exchange.closeAfterResponse();
    context.deadlineWatchdog->disarm();
    co_await exchange.respond(std::move(response.head), response.body);
}

void RequestHandler::recordEnd(RequestContext const& context, Error const* error)
{
    auto const& classification = context.classification;
    auto const name = error ? Core::errorName(error->kind) : std::string_view("none");
    Telemetry::Labels const labels { { "class", std::string(Settings::routeClassName(classification.routeClass)) },
        { "department", classification.department } };
    auto const latency = Core::monotonicNow() - context.arrivedAt;
    m_services.metrics.histogram("comfreysail_request_seconds", labels).add(latency);
    m_services.metrics.counter("comfreysail_requests_total", { { "error", std::string(name) } }).add();
    if (!error)
        return;
    Telemetry::EventLine("request_refused")
        .add("request_id", classification.requestId)
        .add("service", classification.service)
        .add("department", classification.department)
        .add("error", name)
        .add("detail", error->detail)
        .add("attempts", context.attempt)
        .add("outcome", Core::outcomeName(outcomeFor(context, error->kind)))
        .logInfo();
}

}
