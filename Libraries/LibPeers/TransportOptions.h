#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Comfreysail::Peers {

struct TransportOptions {
    std::string address { "127.0.0.1" };
    uint16_t port { 0 };
    uint64_t bytesPerSecond { 20 * 1024 }; ///< Limit for sent bytes, with an estimate of the header bytes.
    size_t queueLimit { 512 };             ///< Messages of each priority that wait for the budget.
    int peerQueueLimit { 64 };             ///< Messages that wait for one connection.
    /// Interval of the ZeroMQ heartbeats that probe a connection. One without a reply for twice this time is closed and
    /// reopened.
    Core::Duration probeInterval { std::chrono::seconds(1) };
    /// A connection without sent messages for this long is closed.
    Core::Duration idleAfter { std::chrono::seconds(30) };
};

}
