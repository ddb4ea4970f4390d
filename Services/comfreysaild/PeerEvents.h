#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace Comfreysail::Daemon {

/// A connection to a target instance was lost without a response while a request with this fingerprint was in flight.
struct CrashNotice {
    uint64_t fingerprint { 0 };
    std::string target;

    bool operator==(CrashNotice const&) const = default;
};

/// The total load of one group, sent by its home to the homes of the same service in other availability zones.
struct LoadNotice {
    std::string service;
    std::string availabilityZone;
    uint32_t shard { 0 };
    std::string home; ///< Daemon name; ignored when sending, set on receipt.
    uint32_t inFlight { 0 };
    uint32_t queued { 0 };
    uint32_t slots { 0 };

    bool operator==(LoadNotice const&) const = default;
};

/// Callbacks of the control plane. Called on an unspecified thread without a lock of the control plane held. They must
/// not block.
struct PeerEvents {
    std::function<void(CrashNotice const&)> onCrash;
    std::function<void(LoadNotice const&)> onLoad;
    std::function<void()> onSettings; ///< New settings were adopted.
};

}
