#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Comfreysail::Peers {

struct TransportOptions {
    std::string address { "127.0.0.1" };
    uint16_t port { 0 };
    uint64_t bytesPerSecond { 20 * 1024 }; ///< Sent, with an estimate of the header bytes.
    size_t queueLimit { 512 };             ///< Messages that wait for the budget, for each priority.
    int peerQueueLimit { 64 };             ///< Messages that wait for a connection.
    /// A connection is probed this often; one that gives no sign for twice the time is closed and opened again.
    Core::Duration probeInterval { std::chrono::seconds(1) };
    Core::Duration idleAfter { std::chrono::seconds(30) }; ///< A connection without messages is closed.
};

}
