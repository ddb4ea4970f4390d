#include "ForwardedHeads.h"

#include "Classifier.h"
#include <algorithm>

namespace Comfreysail::Daemon {

namespace {

constexpr unsigned shedStatus = 503;

/// The caller's request head without hop-by-hop headers and headers that only daemons may set.
HTTP::RequestHead strippedHead(RequestContext const& context, Core::Instant now)
{
    auto head = context.exchange.head();
    HTTP::removeHopByHopFields(head.fields);
    for (auto const name : { std::string_view("Content-Length"), std::string_view("Expect"), Core::Header::hops,
             Core::Header::attempt, Core::Header::startBy, groupHeader })
        head.fields.remove(name);
    head.keepAlive = true;
    if (!context.isStreamed) {
        head.chunked = false;
        // Keeps a Content-Length of 0, because some targets refuse a POST without a length.
        if (context.exchange.head().hasBody() || context.exchange.head().contentLength)
            head.contentLength = context.body->size();
    }
    auto const left = std::chrono::ceil<std::chrono::milliseconds>(context.deadline() - now).count();
    head.fields.set(Core::Header::timeoutMilliseconds, std::to_string(std::max<int64_t>(left, 1)));
    head.fields.set(Core::Header::requestId, context.classification.requestId);
    return head;
}

}

HTTP::RequestHead headForTarget(RequestContext const& context, Core::WallTime startBy, Core::Instant now)
{
    auto head = strippedHead(context, now);
    head.fields.set(Core::Header::attempt, std::to_string(context.attempt));
    // Targets copy this header into their own calls, so it includes this call.
    head.fields.set(Core::Header::depth, std::to_string(context.classification.depth + 1));
    head.fields.set(Core::Header::startBy, std::to_string(Core::toUnixMilliseconds(startBy)));
    return head;
}

HTTP::RequestHead headForHome(RequestContext const& context, ChosenGroup const& group, Core::Instant now)
{
    auto head = strippedHead(context, now);
    head.fields.set(Core::Header::hops, std::to_string(context.classification.hops + 1));
    head.fields.set(groupHeader, serializeChosenGroup(group));
    return head;
}

HTTP::ResponseHead headForCaller(RequestContext const& context, HTTP::ResponseHead head, bool mayHaveRunBefore)
{
    bool const mustCorrectOutcome = mayHaveRunBefore && saysNotRun(head);
    HTTP::removeHopByHopFields(head.fields);
    head.fields.remove("Content-Length");
    if (context.origin == Origin::Caller) {
        head.fields.remove(Core::Header::load);
        head.fields.remove(targetHeader);
    }
    head.fields.set(Core::Header::requestId, context.classification.requestId);
    if (mustCorrectOutcome)
        head.fields.set(Core::Header::outcome, Core::outcomeName(Core::RequestOutcome::Unknown));
    // Whether the target keeps its connection open does not matter for the caller's connection.
    head.keepAlive = true;
    return head;
}

bool saysNotRun(HTTP::ResponseHead const& head)
{
    return head.fields.find(Core::Header::outcome) == Core::outcomeName(Core::RequestOutcome::NotRun);
}

bool isShed(HTTP::ResponseHead const& head)
{
    return head.status == shedStatus && saysNotRun(head) && !head.fields.contains(Core::Header::error);
}

}
