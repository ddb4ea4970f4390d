#pragma once

#include "EntryState.h"
#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Daemon {

/// A request that is explained and not sent.
struct RouteQuestion {
    std::string method;
    std::string host;
    std::string path;                                  ///< Request target, with the query.
    std::vector<std::string_view> authorizationValues; ///< Never part of the explanation.
    std::optional<Core::Duration> timeLimit;           ///< Absent if the caller states none.

    /// Parses the query of /explain-route: "method", "host", "path" and, if given, "time-limit-ms". Errors:
    /// MalformedRequest with the fault in the detail.
    static Core::Result<RouteQuestion> parse(std::string_view adminTarget);
};

/// Why a target gets no request now; None if it may get one.
enum class TargetExclusion : uint8_t {
    None,
    Leaving,      ///< It drains, it said that it is leaving, or its address belongs to another target.
    Unregistered, ///< It is missing from the registry.
    Zone,         ///< Its availability zone is out of service.
    Version,      ///< A move between versions allows other versions only.
    Wait,         ///< It refused a request and wants none for some time.
    Return,       ///< That time has passed, and its load rises gradually.
    Ejected,      ///< Requests to it failed.
    Limit,        ///< The rate that it named allows this daemon no request yet.
    OtherDaemons, ///< The service has more targets than one daemon uses.
    Cold,
    Full, ///< A recent load report shows no room for this request.
};

std::string_view exclusionName(TargetExclusion);

struct TargetExplanation {
    std::string id;
    std::string availabilityZone;
    std::string version;
    std::optional<Traffic::TargetLoad> load;
    Core::Duration loadAge {};    ///< Set if `load` is.
    unsigned sentSinceLoad { 0 }; ///< Requests of this daemon.
    std::optional<double> cost;   ///< By the last load report; absent without one, or if that shows no room.
    bool isInSubset { false };
    TargetExclusion exclusion { TargetExclusion::None };
    std::optional<Core::Duration> excludedFor; ///< For Wait, Return, Ejected, Limit and Cold: the time until it ends.
    /// Time since the target said that for which it is left out; absent if that is not why.
    std::optional<Core::Duration> statementAge;

    bool operator==(TargetExplanation const&) const = default;
};

/// How the target of a request is selected.
enum class Selection : uint8_t {
    None,       ///< No target may get the request.
    Probes,     ///< Some targets are probed for their load, and the one with the lowest cost is used.
    TwoRandom,  ///< The targets report no load: of two random ones, that with fewer requests of this daemon.
    ColdTarget, ///< All targets are cold: one whose rate for cold targets allows another request.
};

std::string_view selectionName(Selection);

enum class Outcome : uint8_t {
    Sent,
    Uncertain, ///< Depends on a random draw, a rate limit or the next load reports.
    Refused,
};

std::string_view outcomeName(Outcome);

/// What a shortage of the service does to the request.
struct ShortageExplanation {
    Overload::DecisionInput input;
    Overload::Decision decision; ///< For the middle one of the random draws.
    double sentPart { 1 };       ///< Of the random draws, the part with which the request is sent at once.

    bool operator==(ShortageExplanation const&) const = default;
};

/// Where the request goes if the weights of its route choose this service.
struct ServiceExplanation {
    std::string service;
    double share { 1 }; ///< Part of the route's requests that this service gets.
    bool isInSettings { false };
    std::vector<std::string> allowedVersions; ///< Empty if any is allowed.
    bool usesSubset { false };
    std::vector<TargetExplanation> targets;
    size_t targetsOfOtherServices { 0 };
    Selection selection { Selection::None };
    std::string bestTarget; ///< By the load reports known now; empty if unknown. A request probes first.
    std::optional<double> bestCost;
    std::optional<Overload::CapacityState> capacity; ///< Absent if nothing is known.
    std::optional<ShortageExplanation> shortage;     ///< Absent if requests are served without regard to ranks.
    std::optional<double> retryTokens;               ///< Absent before the first request.
    std::optional<Core::Duration> firstReturn; ///< Until the first of the targets that are out for some time is back.
    Outcome outcome { Outcome::Refused };
    std::optional<Core::ErrorKind> refusal;
    std::string reason; ///< Why the outcome is not Sent.

    bool operator==(ServiceExplanation const&) const = default;
};

struct RouteExplanation {
    std::string method;
    std::string host;
    std::string path;
    std::string daemon;
    std::string availabilityZone;
    std::optional<int64_t> revision;       ///< Of the settings; absent if there are none.
    std::optional<Core::Duration> rowsAge; ///< Absent before rows were read.
    bool waitsForFreshRows { false };      ///< After a pause of the process, requests wait for fresh rows.
    std::vector<std::string> zonesOutOfService;
    bool isHostKnown { false };
    std::optional<Traffic::RequestRoute> route;
    bool isKeyNeeded { false };
    bool isKeyPresent { false };
    std::optional<Core::ErrorKind> keyFault; ///< Set if the settings have departments and the key gives none.
    std::string department;                  ///< Empty if the request has none.
    unsigned rank { 0 };
    std::optional<Core::Duration> timeLimit;
    Core::Duration earlierWait {}; ///< What the caller would be assumed to have spent on earlier attempts.
    std::vector<ServiceExplanation> services;
    Outcome outcome { Outcome::Refused };
    std::optional<Core::ErrorKind> refusal; ///< Set if the outcome is Refused.
    std::string reason;                     ///< Why the outcome is not Sent.

    bool operator==(RouteExplanation const&) const = default;
};

/// Explains where a request would go and why. Changes nothing and probes no target.
RouteExplanation explainRoute(EntryState const&, RouteQuestion const&, std::string_view ownZone, Core::Instant now,
    Core::Duration suspendAwareNow);

boost::json::object toJson(RouteExplanation const&);

}
