#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Membership {

/// What a member says about itself, or what the others settled about it. A higher state of the same incarnation wins.
enum class MemberState : uint8_t {
    Serving,
    Draining, ///< Finishes its requests and receives no new work.
    Left,     ///< Shut down, or silent for so long that the majority no longer counts it.
};

/// One run of a daemon on a VM.
struct Member {
    std::string name;           ///< VM name.
    uint64_t incarnation { 0 }; ///< See makeIncarnation(); of two with one name or one address the higher is the newer.
    std::string availabilityZone;
    std::string address; ///< IP address.
    uint16_t peerHttpPort { 0 };
    uint16_t peerMessagePort { 0 };
    MemberState state { MemberState::Serving };

    bool operator==(Member const&) const = default;
};

/// Start time in milliseconds above 20 random bits, so two starts in one millisecond differ.
uint64_t makeIncarnation(int64_t startUnixMilliseconds, uint64_t randomBits);

}
