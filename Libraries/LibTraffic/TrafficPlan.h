#pragma once

#include <LibAccess/Access.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Comfreysail::Traffic {

/// Whether requests of a route may run more than once.
enum class Idempotency : uint8_t {
    Idempotent,
    AtMostOnce,
};

/// The share of a route's requests that a service gets, relative to the other weights of the route.
struct ServiceShare {
    std::string service;
    double weight { 1 };

    bool operator==(ServiceShare const&) const = default;
};

/// Requests of one host below one path prefix.
struct RequestRoute {
    std::string name;
    std::string host;       ///< Lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash.
    Idempotency idempotency { Idempotency::AtMostOnce };
    bool isDownload { false };       ///< Responses are large.
    Core::Duration timeout {};       ///< Maximum time that a caller waits, as set by the operators.
    Core::Duration latencyTarget {}; ///< Time within which a response counts as on time.
    unsigned maxTargets { 1 };       ///< Maximum number of targets that one request is sent to.
    unsigned priority { 0 };         ///< 0 is the most urgent.
    std::vector<ServiceShare> shares;
    bool isPublic { false }; ///< Requests need no API key even if the plan has departments.

    bool operator==(RequestRoute const&) const = default;
};

struct ServicePlan {
    std::string healthPath;
    unsigned maxConnections { 0 };      ///< Connections that one target accepts from all callers together.
    double coldRequestsPerSecond { 0 }; ///< Requests per second that a cold target tolerates from all callers together.

    bool operator==(ServicePlan const&) const = default;
};

/// Limits on what callers may send.
struct CallerLimits {
    size_t maxHeaderBytes { 0 };
    size_t maxBodyBytes { 0 };

    bool operator==(CallerLimits const&) const = default;
};

/// One version of the operators' settings for routes and services.
struct TrafficPlan {
    int64_t revision { 0 };
    std::vector<RequestRoute> routes;
    std::map<std::string, ServicePlan, std::less<>> services;
    CallerLimits limits;
    std::optional<Access::KeyTable> keys; ///< Absent if the plan has no departments; then requests need no key.

    bool operator==(TrafficPlan const&) const = default;
};

}
