#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Comfreysail::Daemon {

struct ControlPlaneOptions {
    std::string name; ///< VM name.
    std::string availabilityZone;
    std::string address; ///< IP address at which peers reach this daemon.
    uint16_t peerHttpPort { 0 };
    uint16_t peerMessagePort { 0 };
    std::vector<std::string> seeds;            ///< "address:port" of the message ports of other daemons.
    uint64_t peerBytesPerSecond { 20 * 1024 }; ///< Limit for sending; leaves room for the store's traffic in 29 KB/s.

    bool operator==(ControlPlaneOptions const&) const = default;
};

}
