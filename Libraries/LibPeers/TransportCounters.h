#pragma once

#include <cstdint>

namespace Comfreysail::Peers {

struct TransportCounters {
    uint64_t sentMessages { 0 };
    uint64_t sentBytes { 0 }; ///< Including an estimate of the header bytes.
    uint64_t receivedMessages { 0 };
    uint64_t receivedBytes { 0 };
    uint64_t droppedMessages { 0 }; ///< Dropped because a queue was full.
    uint64_t malformedMessages { 0 };
    uint64_t connections { 0 }; ///< Currently open outgoing connections.

    bool operator==(TransportCounters const&) const = default;
};

}
