#include "RouteExplanation.h"

#include "OverloadInput.h"
#include "PlacementInput.h"
#include "RequestIdentity.h"
#include <algorithm>
#include <boost/url/parse.hpp>
#include <charconv>
#include <iterator>
#include <platform/Names.h>
#include <set>
#include <utility>

namespace Comfreysail::Daemon {

using Core::Duration;
using Core::ErrorKind;
using Core::Instant;
using Traffic::DirectoryEntry;

namespace {

// Evenly spread values in place of the random draw that decides under shortage.
constexpr unsigned drawsTried = 100;
// The largest random number that a draw can give, approximately.
constexpr double lastDraw = 0.999999;
// Time that a request without a stated limit is assumed to have, as in RequestReceiver.
constexpr Duration defaultTimeLimit = std::chrono::seconds(30);
constexpr Duration maxTimeLimit = std::chrono::hours(24);

struct Context {
    EntryState const& state;
    RouteQuestion const& question;
    std::string_view ownZone;
    Instant now;
    Overload::ServiceRanks const& ranks;
    RequestFacts facts; ///< Without a service.
};

std::set<std::string> allowedVersions(Context const& context, std::string_view service)
{
    std::set<std::string> versions;
    for (double const draw : { 0.0, lastDraw }) {
        auto const version = allowedVersion(context.state, service, draw, context.now);
        if (!version)
            return {};
        versions.insert(*version);
    }
    return versions;
}

std::set<std::string_view> subsetOf(
    Context const& context, std::string_view service, std::vector<DirectoryEntry const*> const& eligible)
{
    auto const& state = context.state;
    if (!state.usesTargetSubset)
        return {};
    auto const rate = state.requestRates.find(service);
    Traffic::SubsetDemand const demand { state.sharedRows.table(Platform::Table::members).size(),
        readyTargets(state, service), rate == state.requestRates.end() ? 0 : rate->second.perSecond(context.now) };
    return Traffic::probePreference(state.daemonName, context.ownZone, eligible, demand, {}, true, 1, context.now)
        .subset;
}

/// Why a target that is not eligible is left out.
TargetExclusion exclusionOfIneligible(
    Context const& context, DirectoryEntry const& record, std::set<std::string> const& versions)
{
    auto const& target = record.target;
    if (record.hasLeft || target.state != Traffic::RegistrationState::Ready)
        return TargetExclusion::Leaving;
    if (record.missingSince)
        return TargetExclusion::Unregistered;
    if (context.state.zonesOutOfService.contains(target.availabilityZone))
        return TargetExclusion::Zone;
    if (!versions.empty() && !versions.contains(target.version))
        return TargetExclusion::Version;
    if (Traffic::isPaused(record.pause, context.now))
        return TargetExclusion::Wait;
    if (context.now < record.ejectedUntil)
        return TargetExclusion::Ejected;
    if (!Traffic::isSendAllowed(record.pause, context.now))
        return TargetExclusion::Return;
    return Traffic::isSendAllowed(record.limit, context.now) ? TargetExclusion::OtherDaemons : TargetExclusion::Limit;
}

/// When the target said that for which it is left out.
std::optional<Instant> statedAt(DirectoryEntry const& record, TargetExclusion exclusion)
{
    switch (exclusion) {
    case TargetExclusion::Leaving:
        return record.saidLeavingAt;
    case TargetExclusion::Wait:
    case TargetExclusion::Return:
        return record.pause->toldAt;
    case TargetExclusion::Limit:
        return record.limit->namedAt;
    default:
        return std::nullopt;
    }
}

std::optional<Duration> timeUntilEnd(DirectoryEntry const& record, TargetExclusion exclusion, Instant now)
{
    switch (exclusion) {
    case TargetExclusion::Wait:
        return record.pause->until - now;
    case TargetExclusion::Return:
        return Traffic::sendTime({ &*record.pause, 1 }, 0) - now;
    case TargetExclusion::Ejected:
        return record.ejectedUntil - now;
    case TargetExclusion::Limit:
        return record.limit->nextAllowed - now;
    case TargetExclusion::Cold:
        return record.coldUntil - now;
    default:
        return std::nullopt;
    }
}

/// The entry as it would be after a load probe, which the daemon makes before it sends a request: requests that were
/// sent since the last report and have ended hold no slot any more.
DirectoryEntry asProbedNow(DirectoryEntry record)
{
    record.sentSinceLoad = std::min(record.sentSinceLoad, record.inFlight);
    return record;
}

TargetExplanation explainTarget(Context const& context, DirectoryEntry const& record, bool isEligible,
    std::set<std::string> const& versions, Traffic::PlacementRequest const& placement,
    Traffic::PlacementOptions const& options)
{
    TargetExplanation result;
    result.id = record.target.id;
    result.availabilityZone = record.target.availabilityZone;
    result.version = record.target.version;
    result.load = record.load;
    result.sentSinceLoad = record.sentSinceLoad;
    if (record.load)
        result.loadAge = context.now - record.loadMeasuredAt;
    result.cost = Traffic::expectedCost(asProbedNow(record), placement, options);
    // An older report does not exclude a target, since a request probes it again.
    bool const isFull = record.load && !result.cost && result.loadAge <= options.maxReportAgeForRoom;
    if (!isEligible)
        result.exclusion = exclusionOfIneligible(context, record, versions);
    else if (context.now < record.coldUntil)
        result.exclusion = TargetExclusion::Cold;
    else if (isFull)
        result.exclusion = TargetExclusion::Full;
    result.excludedFor = timeUntilEnd(record, result.exclusion, context.now);
    if (auto const stated = statedAt(record, result.exclusion))
        result.statementAge = context.now - *stated;
    return result;
}

/// The only place that asks for the decision under shortage.
std::optional<ShortageExplanation> explainShortage(Context const& context, RequestFacts facts, bool hasTarget)
{
    auto const& overload = context.state.overload;
    std::optional<ShortageExplanation> result;
    unsigned sent = 0;
    for (unsigned number = 0; number < drawsTried; ++number) {
        facts.sheddingDraw = (number + 0.5) / drawsTried;
        auto input = overloadInputOf(overload, context.ranks, facts, context.now);
        if (!input)
            return std::nullopt;
        input->hasTarget = hasTarget;
        auto const decision = Overload::decide(*input, overload.options);
        sent += decision.action == Overload::Action::Send ? 1 : 0;
        if (number == drawsTried / 2)
            result = ShortageExplanation { *input, decision };
    }
    result->sentPart = static_cast<double>(sent) / drawsTried;
    return result;
}

/// The id of the target that would be used if the known load reports were recent, and its cost.
std::optional<std::pair<std::string, double>> bestByKnownReports(std::vector<DirectoryEntry const*> const& eligible,
    Traffic::PlacementRequest const& placement, Traffic::PlacementOptions options, Instant now)
{
    std::vector<DirectoryEntry> probed;
    for (auto const* record : eligible) {
        if (record->load)
            probed.push_back(asProbedNow(*record));
    }
    std::vector<DirectoryEntry const*> reported;
    std::ranges::transform(probed, std::back_inserter(reported), [](auto const& record) { return &record; });
    options.maxReportAge = Duration::max();
    options.maxReportAgeForRoom = Duration::max();
    auto const choice = Traffic::bestTarget(reported, placement, options, now);
    if (!choice)
        return std::nullopt;
    return std::pair { choice->target->target.id, choice->cost };
}

DirectoryEntry const* leastInFlight(std::vector<DirectoryEntry const*> const& eligible, Instant now)
{
    DirectoryEntry const* best = nullptr;
    for (auto const* record : eligible) {
        if (now >= record->coldUntil && (!best || record->inFlight < best->inFlight))
            best = record;
    }
    return best;
}

void setOutcome(ServiceExplanation& result, Outcome outcome, std::string reason)
{
    result.outcome = outcome;
    result.reason = std::move(reason);
    if (outcome == Outcome::Refused && !result.refusal)
        result.refusal = ErrorKind::NoTargetAvailable;
}

void decideOutcome(Context const& context, ServiceExplanation& result)
{
    auto const& question = context.question;
    auto const fingerprint = Retry::fingerprintOf({ result.service, question.method, question.path, {} });
    if (context.state.quarantine.isRefused(fingerprint, context.now)) {
        result.refusal = ErrorKind::RequestQuarantined;
        return setOutcome(result, Outcome::Refused, "earlier copies without a body ended their targets");
    }
    if (!result.isInSettings)
        return setOutcome(result, Outcome::Refused, "the service is not in the settings");
    if (result.targets.empty())
        return setOutcome(result, Outcome::Refused, "the service has no registered target");
    if (result.selection == Selection::None)
        return setOutcome(result, Outcome::Refused, "every target is left out");
    if (result.selection == Selection::ColdTarget)
        return setOutcome(result, Outcome::Uncertain, "all targets are cold and get few requests");
    bool const isShort = result.shortage && result.shortage->input.capacity.isShort;
    if (isShort && result.shortage->sentPart < 1) {
        auto const part = result.shortage->sentPart;
        return setOutcome(
            result, Outcome::Uncertain, part > 0 ? "the shortage lets a part through" : "the shortage holds it back");
    }
    auto const isUsable = [](auto const& target) { return target.exclusion == TargetExclusion::None; };
    if (std::ranges::none_of(result.targets, isUsable))
        return setOutcome(result, Outcome::Uncertain, "no target had room in the last load reports");
    result.outcome = Outcome::Sent;
}

ServiceExplanation explainService(Context const& context, std::string const& service, double share)
{
    auto const& state = context.state;
    ServiceExplanation result;
    result.service = service;
    result.share = share;
    result.isInSettings = state.plan->services.contains(service);
    auto const versions = allowedVersions(context, service);
    result.allowedVersions.assign(versions.begin(), versions.end());
    std::vector<DirectoryEntry const*> eligible;
    auto const addEligible = [&](std::optional<std::string_view> version) {
        auto const found = state.directory.eligible(service, version, state.zonesOutOfService, context.now);
        eligible.insert(eligible.end(), found.begin(), found.end());
    };
    for (auto const& version : versions)
        addEligible(version);
    if (versions.empty())
        addEligible(std::nullopt);
    auto facts = context.facts;
    facts.service = service;
    auto placement = placementOf(state, facts, context.ownZone, context.now);
    Traffic::PlacementOptions options;
    if (auto const input = overloadInputOf(state.overload, context.ranks, facts, context.now))
        Overload::limitPlacement(*input, state.overload.options, placement, options);

    auto const subset = subsetOf(context, service, eligible);
    result.usesSubset = !subset.empty();
    for (auto const* record : state.directory.targetsOf(service)) {
        bool const isEligible = std::ranges::find(eligible, record) != eligible.end();
        result.targets.push_back(explainTarget(context, *record, isEligible, versions, placement, options));
        result.targets.back().isInSubset = subset.contains(record->target.id);
    }
    result.targetsOfOtherServices = state.directory.size() - result.targets.size();
    if (auto const first = state.directory.firstReturn(service, context.now))
        result.firstReturn = *first - context.now;

    bool const areAllCold
        = std::ranges::all_of(eligible, [&](auto const* record) { return context.now < record->coldUntil; });
    if (eligible.empty())
        result.selection = Selection::None;
    else if (areAllCold)
        result.selection = Selection::ColdTarget;
    else if (state.servicesWithoutLoadReports.contains(service))
        result.selection = Selection::TwoRandom;
    else
        result.selection = Selection::Probes;
    if (result.selection == Selection::Probes) {
        if (auto const best = bestByKnownReports(eligible, placement, options, context.now)) {
            result.bestTarget = best->first;
            result.bestCost = best->second;
        }
    } else if (result.selection == Selection::TwoRandom) {
        result.bestTarget = leastInFlight(eligible, context.now)->target.id;
    }
    if (auto const capacity = state.overload.capacities.find(service); capacity != state.overload.capacities.end())
        result.capacity = capacity->second.at(context.now, state.overload.options);
    bool const hasTarget = std::ranges::any_of(
        result.targets, [](auto const& target) { return target.exclusion == TargetExclusion::None; });
    result.shortage = explainShortage(context, facts, hasTarget);
    auto const& tokens = state.retries.tokensLeft();
    if (auto const left = tokens.find(service); left != tokens.end())
        result.retryTokens = left->second;
    decideOutcome(context, result);
    return result;
}

void explainServices(RouteExplanation& result, Context const& context)
{
    auto const& shares = context.facts.route->shares;
    if (shares.empty())
        return;
    double total = 0;
    for (auto const& share : shares)
        total += share.weight;
    for (auto const& share : shares) {
        if (share.weight > 0)
            result.services.push_back(explainService(context, share.service, share.weight / total));
    }
    // As Traffic::chooseService() does without any weight.
    if (result.services.empty())
        result.services.push_back(explainService(context, shares.back().service, 1));
    auto const& first = result.services.front();
    bool const isSame
        = std::ranges::all_of(result.services, [&](auto const& service) { return service.outcome == first.outcome; });
    result.outcome = isSame ? first.outcome : Outcome::Uncertain;
    result.reason = isSame ? first.reason : "the services of the route differ";
    if (isSame)
        result.refusal = first.refusal;
}

RouteExplanation refused(RouteExplanation result, ErrorKind kind, std::string reason)
{
    result.outcome = Outcome::Refused;
    result.refusal = kind;
    result.reason = std::move(reason);
    return result;
}

}

Core::Result<RouteQuestion> RouteQuestion::parse(std::string_view adminTarget)
{
    auto const fault = [](std::string detail) {
        return Core::Error { ErrorKind::MalformedRequest, std::move(detail) };
    };
    auto const parsed = boost::urls::parse_origin_form(adminTarget);
    if (!parsed)
        return fault("the query is not valid");
    RouteQuestion question;
    for (auto const& parameter : parsed->params()) {
        if (parameter.key == "method") {
            question.method = parameter.value;
        } else if (parameter.key == "host") {
            question.host = parameter.value;
        } else if (parameter.key == "path") {
            question.path = parameter.value;
        } else if (parameter.key == "time-limit-ms") {
            auto const& text = parameter.value;
            int64_t milliseconds = 0;
            auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
            if (error != std::errc() || end != text.data() + text.size() || milliseconds <= 0)
                return fault("time-limit-ms must be a whole number from 1");
            question.timeLimit = std::min<Duration>(
                std::chrono::milliseconds(std::min<int64_t>(milliseconds, Core::toMilliseconds(maxTimeLimit))),
                maxTimeLimit);
        } else {
            return fault("unknown parameter; known: method, host, path, time-limit-ms");
        }
    }
    if (question.method.empty() || question.host.empty() || !question.path.starts_with('/'))
        return fault("method, host and a path that begins with / are required");
    return question;
}

RouteExplanation explainRoute(EntryState const& state, RouteQuestion const& question, std::string_view ownZone,
    Instant now, Duration suspendAwareNow)
{
    RouteExplanation result;
    result.method = question.method;
    result.host = Traffic::normalizedHost(question.host);
    result.path = question.path;
    result.daemon = state.daemonName;
    result.availabilityZone = ownZone;
    result.timeLimit = question.timeLimit;
    if (state.rowsReadAt != Instant {})
        result.rowsAge = now - state.rowsReadAt;
    result.waitsForFreshRows = state.pauses.needsRefresh(suspendAwareNow);
    result.zonesOutOfService.assign(state.zonesOutOfService.begin(), state.zonesOutOfService.end());
    result.isKeyPresent = !question.authorizationValues.empty();
    auto const& plan = state.plan;
    if (!plan)
        return refused(result, ErrorKind::SettingsUnavailable, "the daemon has no settings yet");
    result.revision = plan->revision;
    result.isHostKnown
        = std::ranges::any_of(plan->routes, [&](auto const& route) { return route.host == result.host; });
    if (!state.hasReadTargets)
        return refused(result, ErrorKind::SettingsUnavailable, "the daemon has not read the targets yet");
    auto const* const route = Traffic::findRoute(*plan, question.host, question.path);
    if (!route)
        return refused(result, ErrorKind::UnknownRoute,
            result.isHostKnown ? "no route of the host has a prefix of the path" : "no route has this host");
    result.route = *route;
    auto const identity = identifyRequest(*plan, *route, question.authorizationValues);
    result.isKeyNeeded = identity.isKeyNeeded;
    result.keyFault = identity.keyFault;
    result.department = identity.department ? identity.department->name : "";
    result.rank = identity.rank;
    if (identity.isKeyNeeded && identity.keyFault)
        return refused(result, *identity.keyFault, std::string(Core::errorRule(*identity.keyFault).message));
    if (state.stopsServingAt && now + route->latencyTarget > *state.stopsServingAt)
        return refused(result, ErrorKind::ShuttingDown, "the daemon stops before the request would end");
    // Noted in a copy, since this request does not exist.
    auto const known = state.timeLimits.find(route->name);
    auto timeLimits = known == state.timeLimits.end() ? Traffic::CallerTimeoutEstimate {} : known->second;
    result.earlierWait = timeLimits.note(question.timeLimit.value_or(defaultTimeLimit));

    Overload::ServiceRanks ownRanks;
    bool const hasRanks = state.overload.planOfRanks == plan;
    if (!hasRanks)
        ownRanks = Overload::ServiceRanks(*plan);
    RequestFacts facts;
    facts.route = route;
    facts.department = identity.department;
    facts.rank = identity.rank;
    facts.arrivedAt = now;
    facts.earlierWait = result.earlierWait;
    if (question.timeLimit)
        facts.callerDeadline = now + *question.timeLimit;
    facts.uniform = 0.5;
    facts.sheddingDraw = 0.5;
    explainServices(result, { state, question, ownZone, now, hasRanks ? state.overload.ranks : ownRanks, facts });
    return result;
}

}
