#include "Classifier.h"

#include <algorithm>
#include <charconv>
#include <random>

namespace Comfreysail::Daemon {

namespace {

using Core::Error;
using Core::ErrorKind;
using Core::Result;

constexpr unsigned maxDepth = 11;
constexpr unsigned maxHops = 2;
constexpr int64_t maxTimeoutMilliseconds = 86'400'000;
constexpr size_t maxRequestIdLength = 64;

std::optional<int64_t> parseNumber(std::string_view text)
{
    int64_t value = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size() || value < 0)
        return std::nullopt;
    return value;
}

bool isHexDigit(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f')
        || (character >= 'A' && character <= 'F');
}

bool isValidRequestId(std::string_view id)
{
    return !id.empty() && id.size() <= maxRequestIdLength && std::all_of(id.begin(), id.end(), isHexDigit);
}

std::string newRequestId()
{
    thread_local std::mt19937_64 generator { std::random_device {}() };
    return Core::toHex(generator()) + Core::toHex(generator());
}

std::string hostName(std::string_view host)
{
    // A colon inside brackets belongs to an IPv6 address.
    auto const end = host.starts_with('[') ? std::min(host.find(']'), host.size() - 1) + 1 : host.find(':');
    std::string name(host.substr(0, end));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character + ('a' - 'A'))
                                                    : static_cast<char>(character);
    });
    return name;
}

std::optional<ChosenGroup> parseChosenGroup(std::string_view text)
{
    auto const first = text.find(';');
    auto const second = text.rfind(';');
    if (first == std::string_view::npos || first == second)
        return std::nullopt;
    auto const shard = parseNumber(text.substr(first + 1, second - first - 1));
    auto const draw = parseNumber(text.substr(second + 1));
    if (!shard || !draw)
        return std::nullopt;
    return ChosenGroup { std::string(text.substr(0, first)), static_cast<unsigned>(*shard),
        static_cast<uint32_t>(*draw) };
}

/// Parses a numeric header field; nullopt if it is absent. Error: `errorKind`, if it is not a number in the range.
Result<std::optional<int64_t>> numberField(
    HTTP::Fields const& fields, std::string_view name, int64_t minimum, int64_t maximum, ErrorKind errorKind)
{
    auto const text = fields.find(name);
    if (!text)
        return std::optional<int64_t> {};
    auto const number = parseNumber(*text);
    if (!number || *number < minimum || *number > maximum)
        return Error { errorKind,
            std::string(name) + " must be from " + std::to_string(minimum) + " to " + std::to_string(maximum) };
    return number;
}

std::optional<Error> classifyRoute(
    HTTP::RequestHead const& head, Settings::SettingsTree const& tree, RequestClassification& result)
{
    auto const* const serviceName = tree.serviceOfHost(hostName(*head.fields.find("Host")));
    if (!serviceName)
        return Error { ErrorKind::UnknownService, std::string(*head.fields.find("Host")) };
    result.service = *serviceName;
    result.department = std::string(head.fields.find(Core::Header::department).value_or(""));
    if (!tree.departments.empty() && !tree.department(result.department))
        return Error { ErrorKind::UnknownDepartment, result.department };
    auto const path = std::string_view(head.target).substr(0, head.target.find('?'));
    auto const* route = tree.service(result.service)->routeFor(head.method, path);
    // Settings usually declare routes for GET only; HEAD is the same request without the response body.
    if (!route && head.method == "HEAD")
        route = tree.service(result.service)->routeFor("GET", path);
    if (!route)
        return Error { ErrorKind::UnknownRoute, head.method + " " + std::string(path) };
    result.routeName = route->first;
    result.routeClass = route->second.routeClass;
    result.isIdempotent = route->second.idempotent;
    result.settings = Settings::effectiveSettings(tree, result.service, result.department);
    return std::nullopt;
}

std::optional<Error> classifyNumbers(
    HTTP::RequestHead const& head, Origin origin, Core::Instant now, RequestClassification& result)
{
    auto const timeout = numberField(
        head.fields, Core::Header::timeoutMilliseconds, 1, maxTimeoutMilliseconds, ErrorKind::InvalidDeadline);
    auto const depth = numberField(head.fields, Core::Header::depth, 0, maxDepth, ErrorKind::DepthExceeded);
    auto const hops = origin == Origin::Peer
        ? numberField(head.fields, Core::Header::hops, 0, maxHops, ErrorKind::HopsExceeded)
        : Result<std::optional<int64_t>> { std::optional<int64_t> {} };
    for (auto const* number : { &timeout, &depth, &hops }) {
        if (isError(*number))
            return errorOf(*number);
    }
    auto const milliseconds = valueOf(timeout);
    result.deadline
        = now + (milliseconds ? Core::Duration(std::chrono::milliseconds(*milliseconds)) : result.settings.timeout);
    result.depth = static_cast<unsigned>(valueOf(depth).value_or(0));
    result.hops = static_cast<unsigned>(valueOf(hops).value_or(0));
    return std::nullopt;
}

std::optional<Error> classifyIdentity(HTTP::RequestHead const& head, Origin origin, RequestClassification& result)
{
    auto const requestId = head.fields.find(Core::Header::requestId);
    result.requestId = requestId && isValidRequestId(*requestId) ? std::string(*requestId) : newRequestId();
    if (auto const key = head.fields.find(Core::Header::idempotencyKey)) {
        if (!Core::isValidIdempotencyKey(*key))
            return Error { ErrorKind::InvalidIdempotencyKey, {} };
        result.idempotencyKey = std::string(*key);
    }
    if (origin == Origin::Peer) {
        if (auto const group = head.fields.find(groupHeader))
            result.chosenGroup = parseChosenGroup(*group);
    }
    return std::nullopt;
}

}

Result<RequestClassification> classify(
    HTTP::RequestHead const& head, Settings::SettingsTree const& tree, Origin origin, Core::Instant now)
{
    RequestClassification result;
    if (auto error = classifyRoute(head, tree, result))
        return *error;
    if (auto error = classifyNumbers(head, origin, now, result))
        return *error;
    if (auto error = classifyIdentity(head, origin, result))
        return *error;
    return result;
}

std::string serializeChosenGroup(ChosenGroup const& group)
{
    return group.availabilityZone + ";" + std::to_string(group.shard) + ";" + std::to_string(group.draw);
}

}
