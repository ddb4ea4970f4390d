#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace Comfreysail::Daemon {

/// A connection to a target instance ended without a response while the fingerprint was in flight.
struct CrashNotice {
    uint64_t fingerprint { 0 };
    std::string target;

    bool operator==(CrashNotice const&) const = default;
};

/// Load of a home; one total for each group, for the homes of the same service in other availability zones.
struct LoadNotice {
    std::string service;
    std::string availabilityZone;
    uint32_t shard { 0 };
    std::string home; ///< Daemon name; filled in when sent.
    uint32_t inFlight { 0 };
    uint32_t queued { 0 };
    uint32_t slots { 0 };

    bool operator==(LoadNotice const&) const = default;
};

/// Called on an unspecified thread, never while a lock of the control plane is held. Must return soon.
struct PeerEvents {
    std::function<void(CrashNotice const&)> onCrash;
    std::function<void(LoadNotice const&)> onLoad;
    std::function<void()> onSettings; ///< New settings are in force.
};

}
