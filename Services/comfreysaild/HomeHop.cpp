#include "HomeHop.h"

#include "ForwardedHeads.h"
#include "ResponseRelay.h"
#include <algorithm>
#include <array>

namespace Comfreysail::Daemon {

using Core::Error;
using Core::ErrorKind;
using HTTP::awaitable;
using Kind = ForwardResult::Kind;

namespace {

/// Errors with which a home refuses all new requests. This daemon can serve such a request itself.
constexpr std::array homeRefusals { ErrorKind::ShuttingDown, ErrorKind::Isolated, ErrorKind::SettingsUnavailable };

bool isHomeRefusal(HTTP::ResponseHead const& head)
{
    auto const name = head.fields.find(Core::Header::error);
    return name && saysNotRun(head)
        && std::ranges::any_of(homeRefusals, [&](ErrorKind kind) { return Core::errorName(kind) == *name; });
}

ForwardResult endOfFailedHop(DaemonServices& services, RequestContext& context, Error error)
{
    if (context.stopSignal.reason())
        return { Kind::Refused, std::move(error) };
    if (error.kind == ErrorKind::ConnectFailed)
        return { Kind::TryOtherZone, { ErrorKind::HomeUnavailable, std::move(error.detail) } };
    Retry::FailedAttempt attempt;
    attempt.error = error.kind;
    attempt.attempt = context.attempt;
    attempt.isIdempotent = context.classification.isIdempotent;
    attempt.isBodyReplayable = context.isBodyReplayable();
    attempt.deadline = context.deadline();
    bool const mayRetry
        = services.retries.decide(context.classification.service, attempt, Core::monotonicNow()).shouldRetry;
    return { mayRetry ? Kind::TryOtherZone : Kind::Refused, std::move(error) };
}

}

awaitable<ForwardResult> forwardToHome(DaemonServices& services, RequestContext& context, GroupChoice const& choice)
{
    HTTP::Endpoint const endpoint { choice.home->address, choice.home->peerHttpPort };
    bool const mayHaveRunBefore = context.mayHaveRun;
    auto const policy = context.classification.isIdempotent ? HTTP::ReusePolicy::Any : HTTP::ReusePolicy::RecentlyUsed;
    ++context.attempt;
    auto sent = co_await services.upstream.send(
        context, endpoint, policy, headForHome(context, choice.group, Core::monotonicNow()));
    if (isError(sent))
        co_return endOfFailedHop(services, context, errorOf(sent));
    auto upstream = takeValue(std::move(sent));
    if (isHomeRefusal(upstream.head) && context.isBodyReplayable()) {
        services.upstream.abandon(upstream);
        context.mayHaveRun = mayHaveRunBefore;
        co_return ForwardResult { Kind::TryOtherZone, { ErrorKind::HomeUnavailable, "the home refuses work" } };
    }
    auto const target = upstream.head.fields.find(targetHeader);
    auto const hint = Routing::parseLoadHint(upstream.head.fields.find(Core::Header::load).value_or(""));
    if (target && hint.state)
        choice.dispatcher->observe(std::string(*target), *hint.state, Core::monotonicNow());
    if (context.classification.routeClass == Settings::RouteClass::Download)
        context.deadlineWatchdog->disarm();
    auto callerHead = headForCaller(context, upstream.head, mayHaveRunBefore);
    co_await relayResponse(context, services.upstream, upstream, std::move(callerHead), nullptr);
    co_return ForwardResult {};
}

}
