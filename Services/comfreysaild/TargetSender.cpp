#include "TargetSender.h"

#include "ForwardedHeads.h"
#include "ResponseRelay.h"
#include <array>

namespace Comfreysail::Daemon {

using Core::Error;
using Core::ErrorKind;
using Core::Result;
using HTTP::awaitable;
using Kind = ForwardResult::Kind;
using Routing::SendOutcome;

namespace {

constexpr unsigned firstServerErrorStatus = 500;
constexpr std::string_view repeatedRequestBody = "The request ran earlier and ended with this status.\n";

SendOutcome outcomeOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::ConnectFailed:
        return SendOutcome::ConnectFailed;
    case ErrorKind::ConnectionLost:
        return SendOutcome::ConnectionLost;
    case ErrorKind::DeadlineExceeded:
        return SendOutcome::TimedOut;
    case ErrorKind::TargetShedRequest:
        return SendOutcome::Shed;
    case ErrorKind::InvalidTargetAnswer:
        return SendOutcome::ServerError;
    default:
        return SendOutcome::Cancelled;
    }
}

Moves::Outcome evidenceOf(SendOutcome outcome)
{
    switch (outcome) {
    case SendOutcome::Answered:
        return Moves::Outcome::Success;
    case SendOutcome::ServerError:
    case SendOutcome::TimedOut:
        return Moves::Outcome::Failure;
    case SendOutcome::ConnectFailed:
    case SendOutcome::ConnectionLost:
        return Moves::Outcome::Lost;
    case SendOutcome::Shed:
    case SendOutcome::Cancelled:
        break;
    }
    return Moves::Outcome::Ignored;
}

Routing::LoadHint loadHintOf(HTTP::ResponseHead const& head)
{
    return Routing::parseLoadHint(head.fields.find(Core::Header::load).value_or(""));
}

HTTP::ReusePolicy reusePolicy(RequestContext const& context, Routing::Pick const& pick)
{
    if (pick.connectFresh)
        return HTTP::ReusePolicy::None;
    return context.classification.isIdempotent ? HTTP::ReusePolicy::Any : HTTP::ReusePolicy::RecentlyUsed;
}

Core::WallTime startByOf(RequestContext const& context, Core::Instant now)
{
    auto const startBy = Core::wallNow() + std::chrono::floor<std::chrono::milliseconds>(context.deadline() - now);
    return context.claim ? std::min(startBy, context.claimStartBy) : startBy;
}

}

TargetSender::TargetSender(DaemonServices& services)
    : m_services(services)
{
}

awaitable<ForwardResult> TargetSender::run(RequestContext& context, GroupChoice const& choice)
{
    auto admitted
        = co_await choice.dispatcher->admit(context, pickRequestFor(m_services, context, choice, Core::monotonicNow()));
    if (isError(admitted)) {
        auto const& error = errorOf(admitted);
        auto const kind = error.kind == ErrorKind::NoTargetAvailable ? Kind::TryOtherZone : Kind::Refused;
        co_return ForwardResult { kind, error };
    }
    auto dispatched = takeValue(std::move(admitted));
    auto const refusal = co_await acquireClaim(context);
    if (refusal) {
        choice.dispatcher->noteSendEnded(dispatched, SendOutcome::Cancelled, {}, Core::monotonicNow());
        choice.dispatcher->finish(dispatched, Core::monotonicNow());
        co_return *refusal;
    }
    auto result = co_await sendWithRetries(context, choice, dispatched);
    choice.dispatcher->finish(dispatched, Core::monotonicNow());
    co_return result;
}

awaitable<std::optional<ForwardResult>> TargetSender::acquireClaim(RequestContext& context)
{
    if (!needsClaim(context) || context.claim)
        co_return std::nullopt;
    auto const answer = co_await m_services.claims.acquire(context);
    if (std::holds_alternative<Claims::ClaimGranted>(answer))
        co_return std::nullopt;
    if (auto const* const error = std::get_if<Error>(&answer)) {
        bool const mayGoWithout = error->kind == ErrorKind::ClaimStoreUnavailable
            && context.classification.settings.ordersWhenStoreDown == Settings::OrdersWhenStoreDown::TargetDeduplicates;
        if (mayGoWithout)
            co_return std::nullopt;
        co_return ForwardResult { Kind::Refused, *error };
    }
    HTTP::ResponseHead head;
    head.status = std::get<Claims::StoredStatus>(answer).status;
    head.fields.add(Core::Header::requestId, context.classification.requestId);
    co_await context.exchange.respond(std::move(head), repeatedRequestBody);
    co_return ForwardResult {};
}

void TargetSender::noteClaim(RequestContext const& context, Error const& error, bool mayHaveRun)
{
    if (!context.claim)
        return;
    if (mayHaveRun && error.kind != ErrorKind::TargetShedRequest)
        m_services.claims.noteEvent(context, Claims::SendOutcomeUnknown {});
    else
        m_services.claims.noteEvent(context, Claims::SendDidNotRun {});
}

awaitable<ForwardResult> TargetSender::sendWithRetries(
    RequestContext& context, GroupChoice const& choice, DispatchedRequest& dispatched)
{
    while (true) {
        auto result = co_await sendOnce(context, choice, dispatched);
        if (result.kind == Kind::Answered || context.stopSignal.reason())
            co_return result;
        // The failed send may have been the crash that put the request into quarantine.
        if (m_services.retries.isQuarantined(context.fingerprint, Core::monotonicNow()))
            co_return ForwardResult { Kind::Refused, { ErrorKind::RequestQuarantined, {} } };
        auto const decision = decideRetry(context, result.error);
        if (!decision.shouldRetry)
            co_return result;
        context.failedTargets.push_back(dispatched.pick.target);
        if (decision.shouldLeaveZone && hasOtherZone(context, choice))
            co_return ForwardResult { Kind::TryOtherZone, result.error };
        auto const now = Core::monotonicNow();
        auto next = choice.dispatcher->pickAgain(dispatched, pickRequestFor(m_services, context, choice, now), now);
        // FIXME: If the other targets of the zone merely have no free slot, the request should be queued again.
        if (isError(next))
            co_return ForwardResult { Kind::TryOtherZone, result.error };
        dispatched = valueOf(next);
    }
}

bool TargetSender::hasOtherZone(RequestContext& context, GroupChoice const& choice)
{
    context.failedZones.push_back(choice.group.availabilityZone);
    bool const hasOther = !isError(chooseGroup(m_services, context));
    context.failedZones.pop_back();
    return hasOther;
}

awaitable<Result<UpstreamResponse>> TargetSender::sendTo(
    RequestContext& context, GroupChoice const& choice, DispatchedRequest& dispatched, HTTP::RequestHead head)
{
    auto const crashSend = m_services.crashes.noteSent(dispatched.pick.target, context.fingerprint, Core::wallNow());
    auto result = co_await m_services.upstream.send(
        context, dispatched.endpoint, reusePolicy(context, dispatched.pick), std::move(head));
    if (isError(result)) {
        auto const now = Core::monotonicNow();
        auto const kind = errorOf(result).kind;
        if (kind == ErrorKind::ConnectionLost)
            noteCrash(crashSend, now);
        reportEvidence(context, choice, dispatched, outcomeOf(kind), {});
        choice.dispatcher->noteSendEnded(dispatched, outcomeOf(kind), {}, now);
    }
    m_services.crashes.noteEnded(crashSend);
    co_return result;
}

void TargetSender::reportEvidence(RequestContext const& context, GroupChoice const& choice,
    DispatchedRequest const& dispatched, SendOutcome outcome, Routing::LoadHint const& hint)
{
    Moves::Observation observation;
    observation.service = context.classification.service;
    observation.version = choice.version.version;
    observation.route = context.classification.routeName;
    observation.availabilityZone = choice.group.availabilityZone;
    observation.target = dispatched.pick.target;
    observation.outcome = evidenceOf(outcome);
    observation.latency = Core::monotonicNow() - dispatched.sentAt;
    observation.isCold = hint.state == Routing::TargetState::Cold;
    observation.isLoaded = hint.inFlight && hint.limit && *hint.inFlight >= *hint.limit;
    m_services.controlPlane.reportEvidence(observation);
}

void TargetSender::noteCrash(CrashTracker::Send const& send, Core::Instant now)
{
    for (auto const fingerprint : m_services.crashes.noteCrashed(send)) {
        m_services.retries.noteCrash({ fingerprint, send.instance }, now);
        m_services.controlPlane.reportCrash({ fingerprint, send.instance });
    }
}

awaitable<void> TargetSender::abandonSend(RequestContext& context, UpstreamResponse& upstream)
{
    m_services.upstream.abandon(upstream);
    if (!upstream.connection->isSending())
        co_return;
    context.exchange.cancelPendingRead();
    co_await upstream.connection->waitForSender();
}

awaitable<Error> TargetSender::drainShedResponse(RequestContext& context, UpstreamResponse& upstream)
{
    // Reads the body so that the connection can be reused, which keeps shedding cheap for the target.
    std::array<char, 4096> buffer {};
    for (int piece = 0; piece < 4; ++piece) {
        auto const size = co_await m_services.upstream.readBody(context, upstream, buffer);
        if (isError(size) || valueOf(size) == 0)
            break;
    }
    if (upstream.connection->isSending())
        co_await abandonSend(context, upstream);
    else
        m_services.upstream.finish(upstream);
    co_return Error { ErrorKind::TargetShedRequest, {} };
}

awaitable<ForwardResult> TargetSender::sendOnce(
    RequestContext& context, GroupChoice const& choice, DispatchedRequest& dispatched)
{
    ++context.attempt;
    bool const mayHaveRunBefore = context.mayHaveRun;
    auto const now = Core::monotonicNow();
    if (context.claim) {
        auto const started = m_services.claims.noteSendStarted(context);
        if (isError(started)) {
            choice.dispatcher->noteSendEnded(dispatched, SendOutcome::Cancelled, {}, now);
            co_return ForwardResult { Kind::Refused, errorOf(started) };
        }
    }
    context.mayHaveRun = false;
    auto head = headForTarget(context, startByOf(context, now), now);
    auto sent = co_await sendTo(context, choice, dispatched, std::move(head));
    bool const mayHaveRun = std::exchange(context.mayHaveRun, context.mayHaveRun || mayHaveRunBefore);
    if (isError(sent)) {
        noteClaim(context, errorOf(sent), mayHaveRun);
        co_return ForwardResult { Kind::Refused, errorOf(sent) };
    }
    auto upstream = takeValue(std::move(sent));
    auto const hint = loadHintOf(upstream.head);
    if (isShed(upstream.head)) {
        auto error = co_await drainShedResponse(context, upstream);
        context.mayHaveRun = mayHaveRunBefore;
        noteClaim(context, error, false);
        choice.dispatcher->noteSendEnded(dispatched, SendOutcome::Shed, hint, Core::monotonicNow());
        co_return ForwardResult { Kind::Refused, std::move(error) };
    }
    if (context.claim)
        m_services.claims.noteEvent(context, Claims::AnswerReceived { upstream.head.status });
    auto const prefetched = co_await m_services.upstream.prefetchBody(context, upstream);
    if (isError(prefetched)) {
        co_await abandonSend(context, upstream);
        auto const outcome = outcomeOf(errorOf(prefetched).kind);
        reportEvidence(context, choice, dispatched, outcome, hint);
        choice.dispatcher->noteSendEnded(dispatched, outcome, hint, Core::monotonicNow());
        co_return ForwardResult { Kind::Refused, errorOf(prefetched) };
    }
    m_services.retries.noteAnswered(context.fingerprint, dispatched.sentAt, Core::monotonicNow());
    auto const status = upstream.head.status;
    // The deadline of a download applies to the response head only, since the body may take much longer. The stall
    // timeout still applies to the body.
    if (context.classification.routeClass == Settings::RouteClass::Download)
        context.deadlineWatchdog->disarm();
    SendDestination destination { choice, dispatched };
    auto resumeBody = [&](UpstreamResponse& lost, ResumableBody const& rest) -> awaitable<bool> {
        return resume(context, destination, lost, rest);
    };
    upstream.head.fields.set(targetHeader, dispatched.pick.target);
    auto callerHead = headForCaller(context, upstream.head, mayHaveRunBefore);
    auto const end = co_await relayResponse(context, m_services.upstream, upstream, std::move(callerHead), resumeBody);
    auto outcome = status >= firstServerErrorStatus ? SendOutcome::ServerError : SendOutcome::Answered;
    if (end == ResponseRelayResult::UpstreamLost)
        outcome = SendOutcome::ConnectionLost;
    else if (end == ResponseRelayResult::CallerGone)
        outcome = context.stopSignal.reason() == ErrorKind::DeadlineExceeded ? SendOutcome::TimedOut
                                                                             : SendOutcome::Cancelled;
    reportEvidence(context, destination.choice, destination.dispatched, outcome, hint);
    destination.choice.dispatcher->noteSendEnded(destination.dispatched, outcome, hint, Core::monotonicNow());
    if (destination.isAdmittedForResume) {
        destination.choice.dispatcher->finish(destination.dispatched, Core::monotonicNow());
        dispatched.isSendInFlight = false;
    } else {
        dispatched = destination.dispatched;
    }
    co_return ForwardResult {};
}

awaitable<bool> TargetSender::resume(
    RequestContext& context, SendDestination& destination, UpstreamResponse& upstream, ResumableBody const& rest)
{
    bool const isDownload = context.classification.routeClass == Settings::RouteClass::Download;
    while (true) {
        m_services.upstream.abandon(upstream);
        auto const now = Core::monotonicNow();
        if (isDownload)
            context.classification.deadline = now + context.classification.settings.timeout;
        if (!decideRetry(context, { ErrorKind::ConnectionLost, {} }).shouldRetry)
            co_return false;
        bool const isSelected = co_await selectNext(context, destination);
        if (!isSelected)
            co_return false;
        ++context.attempt;
        auto head = headForTarget(context, startByOf(context, now), now);
        rest.addTo(head.fields);
        if (isDownload)
            armDeadline(context);
        auto sent = co_await sendTo(context, destination.choice, destination.dispatched, std::move(head));
        if (isDownload)
            context.deadlineWatchdog->disarm();
        if (context.stopSignal.reason())
            co_return false;
        if (isError(sent))
            continue;
        upstream = takeValue(std::move(sent));
        if (rest.isContinuedBy(upstream.head))
            co_return true;
    }
}

awaitable<bool> TargetSender::selectNext(RequestContext& context, SendDestination& destination)
{
    auto const now = Core::monotonicNow();
    auto& dispatcher = *destination.choice.dispatcher;
    context.failedTargets.push_back(destination.dispatched.pick.target);
    auto next = dispatcher.pickAgain(
        destination.dispatched, pickRequestFor(m_services, context, destination.choice, now), now);
    dispatcher.noteSendEnded(destination.dispatched, SendOutcome::ConnectionLost, {}, now);
    if (!isError(next)) {
        destination.dispatched = takeValue(std::move(next));
        co_return true;
    }
    // This daemon sends to the other zone itself: the response head was already sent to the caller, so the request
    // cannot be forwarded to another daemon.
    context.failedZones.push_back(destination.choice.group.availabilityZone);
    auto const otherGroup = chooseGroup(m_services, context);
    if (isError(otherGroup))
        co_return false;
    auto const& choice = valueOf(otherGroup);
    auto admitted = co_await choice.dispatcher->admit(context, pickRequestFor(m_services, context, choice, now));
    if (isError(admitted))
        co_return false;
    if (destination.isAdmittedForResume)
        dispatcher.finish(destination.dispatched, now);
    destination = { choice, takeValue(std::move(admitted)), true };
    co_return true;
}

Retry::RetryDecision TargetSender::decideRetry(RequestContext const& context, Error const& error)
{
    Retry::FailedAttempt attempt;
    attempt.error = error.kind;
    attempt.attempt = context.attempt;
    attempt.isIdempotent = context.classification.isIdempotent;
    attempt.isBodyReplayable = context.isBodyReplayable();
    attempt.isZoneSuspect = !context.failedTargets.empty();
    attempt.deadline = context.deadline();
    return m_services.retries.decide(context.classification.service, attempt, Core::monotonicNow());
}

}
