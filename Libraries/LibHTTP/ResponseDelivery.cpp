#include <LibHTTP/ResponseDelivery.h>

#include <algorithm>

namespace Comfreysail::HTTP {

namespace {

// Acknowledged bytes may still lie in the receive buffer of the client's system, which drops them on some systems when
// a reset arrives.
constexpr Core::Duration readingTime = std::chrono::seconds(1);

}

ResponseDelivery noteUndelivered(ResponseDelivery delivery, size_t undeliveredBytes, Core::Instant now)
{
    if (undeliveredBytes == delivery.undeliveredBytes)
        return delivery;
    return { undeliveredBytes, now };
}

bool isDelivering(ResponseDelivery const& delivery, Core::Duration stallTimeout, Core::Instant now)
{
    if (delivery.changedAt == Core::Instant {})
        return false;
    auto const longest = delivery.undeliveredBytes > 0 ? stallTimeout : std::min(readingTime, stallTimeout);
    return now - delivery.changedAt < longest;
}

}
