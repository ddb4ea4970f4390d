#pragma once

#include <LibCore/Time.h>
#include <cstddef>

namespace Comfreysail::HTTP {

/// How much of a connection's responses is still on its way to the client. The last write of a response ends when the
/// system has taken the bytes, which may be seconds before a client that reads slowly has them.
struct ResponseDelivery {
    size_t undeliveredBytes { 0 }; ///< That the client's system has not acknowledged.
    Core::Instant changedAt {};    ///< When their number was last seen to change.

    bool operator==(ResponseDelivery const&) const = default;
};

/// Adds an observation of the number of undelivered bytes.
ResponseDelivery noteUndelivered(ResponseDelivery, size_t undeliveredBytes, Core::Instant now);

/// Returns true while closing the connection could lose a part of a response. `stallTimeout` is the time without
/// progress after which the client is taken for gone.
bool isDelivering(ResponseDelivery const&, Core::Duration stallTimeout, Core::Instant now);

}
