#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Wire {

/// Load of one target group, reported by its home, which is the sender.
struct LoadReport {
    std::string service;
    std::string availabilityZone;
    uint32_t shard { 0 };
    uint32_t inFlight { 0 };
    uint32_t queued { 0 };
    uint32_t slots { 0 };

    bool operator==(LoadReport const&) const = default;
};

}
