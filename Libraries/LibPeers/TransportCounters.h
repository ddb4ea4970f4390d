#pragma once

#include <cstdint>

namespace Comfreysail::Peers {

struct TransportCounters {
    uint64_t sentMessages { 0 };
    uint64_t sentBytes { 0 }; ///< With an estimate of the header bytes.
    uint64_t receivedMessages { 0 };
    uint64_t receivedBytes { 0 };
    uint64_t droppedMessages { 0 }; ///< A queue was full.
    uint64_t malformedMessages { 0 };
    uint64_t connections { 0 }; ///< Open now, outgoing.

    bool operator==(TransportCounters const&) const = default;
};

}
