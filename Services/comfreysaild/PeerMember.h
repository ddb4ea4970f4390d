#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Daemon {

/// A daemon that is eligible as a home, with its HTTP endpoint for other daemons.
struct PeerMember {
    std::string name;
    uint64_t incarnation { 0 };
    std::string availabilityZone;
    std::string address;
    uint16_t peerHttpPort { 0 };
    bool isSelf { false };

    bool operator==(PeerMember const&) const = default;
};

}
