#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Comfreysail::Daemon {

struct ControlPlaneOptions {
    std::string name; ///< VM name.
    std::string availabilityZone;
    std::string address; ///< IP address that peers reach this daemon at.
    uint16_t peerHttpPort { 0 };
    uint16_t peerMessagePort { 0 };
    std::vector<std::string> seeds;            ///< "address:port" of the message ports of other daemons.
    uint64_t peerBytesPerSecond { 20 * 1024 }; ///< Sent; leaves room for the store's traffic in 29 KB/s.

    bool operator==(ControlPlaneOptions const&) const = default;
};

}
