#include <LibTraffic/TargetLimit.h>

#include <algorithm>
#include <cmath>

namespace Comfreysail::Traffic {

using Core::Duration;
using Core::Instant;

namespace {

constexpr double microsecondsPerSecond = 1e6;
// Fraction of the limit that many daemons use together. The rest is headroom for sends that coincide by chance; of few
// daemons, not enough can coincide.
constexpr double fractionOfManyDaemons = 0.8;
constexpr size_t maxFewDaemons = 16;
constexpr Duration maxLimitAge = std::chrono::minutes(5);
constexpr Duration probeInterval = std::chrono::seconds(1);

}

double limitDivisor(size_t daemons, size_t targets, size_t targetsPerDaemon)
{
    auto const all = static_cast<double>(std::max<size_t>(daemons, 1));
    if (targets <= targetsPerDaemon)
        return daemons <= maxFewDaemons ? all : all / fractionOfManyDaemons;
    auto const mean = static_cast<double>(daemons * targetsPerDaemon) / static_cast<double>(targets);
    return std::max(1.0, std::min(mean + std::sqrt(mean), all)) / fractionOfManyDaemons;
}

Duration sendInterval(TargetLimit const& limit, double divisor)
{
    auto const longest = static_cast<double>(maxLimitAge.count());
    auto const perSecond = std::max(limit.requestsPerSecond / divisor, 1e-9);
    return Duration(static_cast<Duration::rep>(std::min(microsecondsPerSecond / perSecond, longest)));
}

bool isSendAllowed(std::optional<TargetLimit> const& limit, Instant now)
{
    return !limit || now >= limit->nextAllowed || now - limit->namedAt > maxLimitAge;
}

TargetLimit withNamedLimit(std::optional<TargetLimit> const& known, double requestsPerSecond, bool isInProbe,
    double divisor, double phase, Instant now)
{
    auto limit = known.value_or(TargetLimit {});
    limit.requestsPerSecond = requestsPerSecond;
    limit.namedAt = now;
    limit.isInProbes = limit.isInProbes || isInProbe;
    auto const interval = sendInterval(limit, divisor);
    auto const next = now + Duration(static_cast<Duration::rep>(static_cast<double>(interval.count()) * phase));
    bool const isNew = !known || now - known->namedAt > maxLimitAge;
    if (isNew)
        limit.nextAllowed = next;
    else
        limit.nextAllowed = std::min(known->nextAllowed, now + interval);
    return limit;
}

bool isProbeDue(TargetLimit const& limit, Instant now)
{
    return now - std::max(limit.namedAt, limit.probedAt) >= probeInterval;
}

TargetLimit withSend(TargetLimit limit, double divisor, Instant now)
{
    limit.nextAllowed = now + sendInterval(limit, divisor);
    return limit;
}

bool isEndedBy(TargetLimit const& limit, bool isProbe, Instant sentAt)
{
    // A response may have been made before the target named the limit in another one.
    return sentAt > limit.namedAt && (!isProbe || limit.isInProbes);
}

}
