#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Membership {

/// State of a member, as announced by itself or decided by the others. For one incarnation the higher state wins.
enum class MemberState : uint8_t {
    Serving,
    Draining, ///< Completes its in-flight requests and accepts no new work.
    Left,     ///< Shut down, or removed by the majority after `removeAfter` without a new beat.
};

/// One daemon process on a VM.
struct Member {
    std::string name;           ///< VM name.
    uint64_t incarnation { 0 }; ///< See makeIncarnation(). With the same name or endpoint, the higher one is newer.
    std::string availabilityZone;
    std::string address; ///< IP address.
    uint16_t peerHttpPort { 0 };
    uint16_t peerMessagePort { 0 };
    MemberState state { MemberState::Serving };

    bool operator==(Member const&) const = default;
};

/// Returns the start time in milliseconds, followed by 20 random bits so that two starts within one millisecond differ.
uint64_t makeIncarnation(int64_t startUnixMilliseconds, uint64_t randomBits);

}
