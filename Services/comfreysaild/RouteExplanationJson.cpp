#include "RouteExplanation.h"

#include <array>
#include <boost/json.hpp>

namespace Comfreysail::Daemon {

namespace json = boost::json;
using Core::Duration;

namespace {

json::value milliseconds(std::optional<Duration> const& duration)
{
    return duration ? json::value(Core::toMilliseconds(*duration)) : json::value();
}

json::value orNull(std::optional<double> const& number) { return number ? json::value(*number) : json::value(); }

json::value textOrNull(std::string_view text) { return text.empty() ? json::value() : json::value(text); }

json::value errorOrNull(std::optional<Core::ErrorKind> const& kind)
{
    return kind ? json::value(Core::errorName(*kind)) : json::value();
}

json::array textArray(std::vector<std::string> const& texts)
{
    json::array result;
    for (auto const& text : texts)
        result.emplace_back(text);
    return result;
}

json::value routeJson(std::optional<Traffic::RequestRoute> const& route)
{
    if (!route)
        return {};
    return json::object { { "name", route->name }, { "prefix", route->pathPrefix }, { "download", route->isDownload },
        { "idempotent", route->idempotency == Traffic::Idempotency::Idempotent }, { "public", route->isPublic },
        { "priority", route->priority }, { "timeout_ms", Core::toMilliseconds(route->timeout) },
        { "latency_target_ms", Core::toMilliseconds(route->latencyTarget) }, { "max_targets", route->maxTargets } };
}

json::value loadJson(TargetExplanation const& target)
{
    if (!target.load)
        return {};
    return json::object { { "running", target.load->running }, { "waiting", target.load->waiting },
        { "slots", target.load->slots }, { "slowness", target.load->slowness },
        { "age_ms", Core::toMilliseconds(target.loadAge) }, { "sent_since", target.sentSinceLoad } };
}

json::object targetJson(TargetExplanation const& target)
{
    return { { "id", target.id }, { "zone", target.availabilityZone }, { "version", target.version },
        { "in_subset", target.isInSubset }, { "load", loadJson(target) }, { "cost", orNull(target.cost) },
        { "left_out", textOrNull(exclusionName(target.exclusion)) },
        { "left_out_for_ms", milliseconds(target.excludedFor) }, { "said_ms_ago", milliseconds(target.statementAge) } };
}

json::value capacityJson(std::optional<Overload::CapacityState> const& capacity)
{
    if (!capacity)
        return {};
    return json::object { { "short", capacity->isShort }, { "share_with_room", capacity->share },
        { "reports", capacity->reports }, { "short_for_ms", Core::toMilliseconds(capacity->shortFor) } };
}

json::value shortageJson(std::optional<ShortageExplanation> const& shortage)
{
    if (!shortage)
        return {};
    return json::object { { "action", Overload::actionName(shortage->decision.action) },
        { "reason", Overload::reasonName(shortage->decision.reason) },
        { "required_share", shortage->decision.requiredShare }, { "sent_part", shortage->sentPart },
        { "decision", Overload::describe(shortage->input, shortage->decision) } };
}

json::object serviceJson(ServiceExplanation const& service)
{
    json::array targets;
    for (auto const& target : service.targets)
        targets.emplace_back(targetJson(target));
    return { { "service", service.service }, { "share", service.share }, { "in_settings", service.isInSettings },
        { "allowed_versions", textArray(service.allowedVersions) }, { "uses_subset", service.usesSubset },
        { "selection", selectionName(service.selection) }, { "best_target", textOrNull(service.bestTarget) },
        { "best_cost", orNull(service.bestCost) }, { "capacity", capacityJson(service.capacity) },
        { "shortage", shortageJson(service.shortage) }, { "retry_tokens", orNull(service.retryTokens) },
        { "first_return_ms", milliseconds(service.firstReturn) }, { "outcome", outcomeName(service.outcome) },
        { "error", errorOrNull(service.refusal) }, { "reason", textOrNull(service.reason) },
        { "targets", std::move(targets) }, { "targets_of_other_services", service.targetsOfOtherServices } };
}

std::string_view keyState(RouteExplanation const& explanation)
{
    if (explanation.keyFault)
        return Core::errorName(*explanation.keyFault);
    return explanation.department.empty() ? "not_checked" : "valid";
}

}

std::string_view exclusionName(TargetExclusion exclusion)
{
    constexpr std::array<std::string_view, 12> names { "", "leaving", "unregistered", "zone", "version", "wait",
        "return", "ejected", "limit", "other_daemons", "cold", "full" };
    return names.at(static_cast<size_t>(exclusion));
}

std::string_view selectionName(Selection selection)
{
    constexpr std::array<std::string_view, 4> names { "none", "probes", "two_random", "cold_target" };
    return names.at(static_cast<size_t>(selection));
}

std::string_view outcomeName(Outcome outcome)
{
    constexpr std::array<std::string_view, 3> names { "sent", "uncertain", "refused" };
    return names.at(static_cast<size_t>(outcome));
}

json::object toJson(RouteExplanation const& explanation)
{
    json::array services;
    for (auto const& service : explanation.services)
        services.emplace_back(serviceJson(service));
    json::value refusal;
    if (explanation.refusal) {
        auto const& rule = Core::errorRule(*explanation.refusal);
        refusal = json::object { { "error", rule.name }, { "status", rule.status } };
    }
    return { { "method", explanation.method }, { "host", explanation.host }, { "path", explanation.path },
        { "daemon", explanation.daemon }, { "zone", explanation.availabilityZone },
        { "settings",
            json::object { { "revision", explanation.revision ? json::value(*explanation.revision) : json::value() },
                { "rows_age_ms", milliseconds(explanation.rowsAge) },
                { "waits_for_fresh_rows", explanation.waitsForFreshRows } } },
        { "zones_out", textArray(explanation.zonesOutOfService) }, { "host_known", explanation.isHostKnown },
        { "route", routeJson(explanation.route) },
        { "key",
            json::object { { "needed", explanation.isKeyNeeded }, { "given", explanation.isKeyPresent },
                { "state", keyState(explanation) } } },
        { "department", textOrNull(explanation.department) }, { "rank", explanation.rank },
        { "time_limit_ms", milliseconds(explanation.timeLimit) },
        { "earlier_wait_ms", Core::toMilliseconds(explanation.earlierWait) },
        { "outcome", outcomeName(explanation.outcome) }, { "refusal", std::move(refusal) },
        { "reason", textOrNull(explanation.reason) }, { "services", std::move(services) } };
}

}
